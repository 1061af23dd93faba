Feature: Configuration
  An accepted configuration is in force at every site within seconds and
  never reverts.

  Scenario: A change is in force everywhere within seconds
    Given a site
    When a deadline of 33 s is applied
    Then it is in force in every process within 6 s

  Scenario: Of two concurrent changes one is accepted and the other refused
    Given a site
    When two operators apply different changes of the same version at once
    Then one change is accepted and the other is refused naming the winning operator
    And the accepted change is in force in every process within 6 s

  Scenario: An accepted change is not reported as failed
    Given a site
    When half of the answers to writes are lost
    And 6 changes are applied one after the other
    Then each was accepted, in one order of versions, and the last is in force

  Scenario: The same operation sent again is not applied again
    Given a site
    When a change is applied and its operation is sent again
    Then both answers name the same version

  Scenario: The key-value service goes down right after a change was accepted
    Given a site
    When a deadline of 44 s is applied and the key-value service goes down
    Then it is in force in every process within 6 s

  Scenario: Processes that start while the key-value service is down
    Given a site
    When a deadline of 55 s is applied and the key-value service goes down
    And an entry and a replica start
    Then it is in force in every process within 6 s
    And a request still gets its complete answer

  Scenario: A paused process catches up when it resumes
    Given a site
    When a replica is frozen while a deadline of 66 s is applied
    Then it is in force in every process within 6 s

  Scenario: A change that is invalid for one site is refused
    Given a site
    When a change is applied whose overlay breaks "nadi-1"
    Then it is refused naming the site and the key
    And the version in force is as before

  Scenario: A revoked key is refused within seconds
    Given a site
    When the key of "suva-design-shop" is revoked
    Then its requests are refused within 6 s
