Feature: Batch jobs while processes and data centres fail
  Every accepted item ends with exactly one readable result, whatever fails.

  Scenario: Results stay readable while the key-value service is down
    Given a site
    When a job of 60 items is accepted
    Then the job ends as "completed"
    When the key-value service goes down
    Then the batch is shown as "completed" by both entries
    And the results can still be read
    And each item has exactly one right answer
    And another customer cannot read them

  Scenario: A whole data centre is lost while items run
    Given a site with 3 entries that each have a data folder
    And engines that are slowed down
    When a job of 120 items that run at most once is accepted
    And all VMs of data centre "suva-b" are lost
    Then the job ends as "completed"
    And each item has exactly one result
    And no item was started twice

  Scenario: A local process raises an internal error while an item runs
    Given a site with slow engines
    When a job of 60 items is accepted
    And the next run of one local process raises an internal error
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: Owners keep their chunks while a data folder is frozen
    Given a site with 3 entries that each have a data folder
    And engines that are slowed down
    When a job of 60 items that run at most once is accepted
    And entry 3 is frozen for 6 s
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: An entry that sees a claim before its job keeps the claim
    Given a site
    When a claim is stored before its job
    Then the claim still exists after 4 s
