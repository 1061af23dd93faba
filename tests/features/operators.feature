Feature: Operators
  The command line shows and changes a running site.

  Scenario: An operator inspects the site, changes the configuration and cancels a job
    Given a site with slow engines
    When the operator runs "fleet"
    Then it ends with status 0 and shows "netlist-llm-6"
    When the operator runs "config check BASE NADI"
    Then it ends with status 0 and shows "valid, with 1 overlays"
    When the operator runs "config apply BASE NADI"
    Then it ends with status 0 and shows "version 2 is accepted"
    When the operator runs "config apply --edited 1 BASE"
    Then it ends with status 1 and shows "conflict"
    When the operator runs "config diff BASE"
    Then it ends with status 0 and shows "nadi-1"
    When the operator runs "config show --site nadi-1 --effective"
    Then it ends with status 0 and shows "90"
    When the operator runs "config history"
    Then it ends with status 0 and shows "operation"
    When a job of 200 items is accepted
    And the operator runs "jobs list"
    Then it ends with status 0 and shows "in_progress"
    When the operator runs "jobs cancel suva-design-shop JOB"
    Then it ends with status 0 and shows "cancelling"
    And the job ends as "cancelled"
    When the operator runs "jobs list --json"
    Then it ends with status 0 and shows "cancelled"
    When the operator runs "usage"
    Then it ends with status 0 and shows "suva-design-shop"
    When the operator runs "drain netlist-llm-2"
    Then it ends with status 0 and shows "netlist-llm-2"
    When the operator runs "fleet"
    Then it ends with status 0 and shows "leaving"

  Scenario Outline: Error messages say what to do
    Given a site
    When the operator runs "<command>"
    Then it ends with status 1 and shows "<text>"

    Examples:
      | command                    | text                      |
      | fleet --key wrong          | unauthenticated           |
      | fleet --admin 127.0.0.1:1  | set --admin to a live one |
      | config check nowhere.jsonc | nowhere.jsonc             |
      | config check BROKEN        | $.services.s.kind         |
