Feature: Batch jobs while services fail, and jobs that are repeated or cancelled
  Every accepted item ends with exactly one readable result, whatever fails.

  Scenario: The key-value service goes down while a job runs
    Given a site with slow engines
    When a job of 60 items is accepted
    And the key-value service goes down once items run
    Then items in progress continue
    And a new job is refused with ran "no"
    And the results of an earlier job are not lost
    When the key-value service is available again
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: The same request at two entries at once makes one job
    Given a site
    When the same job is sent to both entries at once with key "k1"
    Then all answers name the same job
    When the job is sent again with key "k1"
    Then it is the same job
    When another job is sent with key "k1"
    Then it is refused as "key_reused"

  Scenario: The same file and body within the window make one job
    Given a site
    When the same job is sent to both entries at once without a key
    Then all answers name the same job
    And the job ends as "completed"
    When the job is sent again without a key
    Then it is the same job

  Scenario: A cancelled job stops
    Given a site with slow engines
    When a job of 400 items is accepted
    And the job is cancelled once items run
    Then no item starts after 2 s
    And the job ends as "cancelled"
    And each item has exactly one result

  Scenario: A cancelled job stops although its owner is isolated
    Given a site with slow engines
    When a job of 100 items is accepted
    And an owner is isolated from all entries
    And the job is cancelled once items run
    Then the job ends as "cancelled"
    And each item has exactly one result
    And no item starts after 4 s

  Scenario: Items that cannot be completed do not block the others
    Given a site
    When a job is accepted with items that crash, fail and are rejected
    Then the job ends as "completed"
    And each item has exactly one result
    And the items that crash, fail and are rejected have failed
    And all other items have their right answers
    And no crashing item was started more than 3 times

  Scenario: An upstream that crashes repeatedly does not use up the items' attempts
    Given a site with slow engines
    When a job of 60 items is accepted
    And each engine crashes in turn
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: A local process that is stopped hands over its chunks
    Given a site with slow engines
    When a job of 60 items is accepted
    And a local process with work in progress is stopped gracefully
    Then it has no work left when it stops, within 4 s
    And the job ends as "completed"
    And each item has exactly one right answer

  Scenario: Items run on a plain service at most once
    Given a site
    When a job of 40 credits is accepted
    And an owner is lost with items in flight
    Then the job ends as "completed"
    And each item has exactly one result
    And no credit was paid twice

  Scenario: Copies on a lost data folder are replaced, and then two entries are lost
    Given a site with 4 entries that each have a data folder
    When a job of 60 items is accepted
    Then the job ends as "completed"
    When entry 1 restarts with an empty data folder
    Then each record names 3 existing folders
    When the entries 2 and 3 are lost
    Then the results can still be read
    And each item has exactly one right answer

  Scenario: A process that was paused while accepting a job writes it again
    Given a site
    When a job of 40 items that run at most once is accepted
    Then the job ends as "completed"
    When the job record is written again as it was accepted
    And all entries reload the jobs
    Then that write is refused
    And no item was started twice

  Scenario: A finished job is deleted slowly
    Given a site
    When the key-value service takes 200 ms for each call
    And a job of 300 items that run at most once is accepted
    Then the job ends as "completed"
    And each item has exactly one result
    When all entries reload the jobs
    Then no item was started twice
