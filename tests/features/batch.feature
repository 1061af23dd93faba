Feature: Batch jobs under failure
  Every accepted item ends with exactly one readable result, whatever fails.

  Scenario: A job runs to completion
    Given a site
    When a job of 200 items is accepted
    Then the job ends as "completed"
    And each item has exactly one right answer
    And usage counts 200 answers

  Scenario: The owner of a chunk is lost with items in flight
    Given a site with slow engines
    When a job of 60 items is accepted
    And an owner is lost with items in flight
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: Owners are lost twice in a row
    Given a site with slow engines
    When a job of 60 items is accepted
    And an owner is lost with items in flight
    And an owner is lost with items in flight
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: Items that may run once are never started twice when owners are lost
    Given a site with slow engines
    When a job of 60 items that run at most once is accepted
    And an owner is lost with items in flight
    And an owner is lost with items in flight
    Then the job ends as "completed"
    And each item has exactly one result
    And no item was started twice
    And items without an answer end as "outcome_unknown"

  Scenario: A paused owner that resumes after a takeover has no effect
    Given a site with slow engines
    When a job of 60 items that run at most once is accepted
    And an owner is frozen until its chunk is taken over
    Then the job ends as "completed"
    And each item has exactly one result
    And no item was started twice

  Scenario: The entry that acknowledged the job is lost at once, and then an owner
    Given a site with 3 entries that each have a data folder
    When a job of 60 items is accepted
    And the entry that acknowledged it is lost
    And an owner is lost with items in flight
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: A data folder is lost while items run
    Given a site with 3 entries that each have a data folder
    And engines that are slowed down
    When a job of 60 items is accepted
    And the data folder of entry 3 is lost
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: A data folder that is replaced by an empty one counts as a new one
    Given a site with 3 entries that each have a data folder
    And engines that are slowed down
    When a job of 60 items is accepted
    And entry 3 is replaced with an empty data folder
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: A data folder is full while items run
    Given a site with 3 entries that each have a data folder
    And engines that are slowed down
    When a job of 60 items is accepted
    And the data folder of entry 2 is full
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: A data folder is slow
    Given a site
    When each forced write takes 200 ms on one data folder
    And a job of 60 items is accepted
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: Answers of the key-value service are lost after writes took effect
    Given a site
    When half of the answers to writes are lost
    And a job of 100 items is accepted
    Then the job ends as "completed"
    And each item has exactly one right answer

  Scenario: Answers of the key-value service and an owner are lost
    Given a site with slow engines
    When half of the answers to writes are lost
    And a job of 60 items that run at most once is accepted
    And an owner is lost with items in flight
    Then the job ends as "completed"
    And each item has exactly one result
    And no item was started twice
