Feature: Leaving
  A graceful stop cuts off no request, and who leaves gets no new work.

  Scenario: SIGTERM on a local process cuts off no stream
    Given a fleet of 1 entry and 2 local processes
    When 12 streams run and a local process gets SIGTERM
    Then each question got its own whole answer
    And that process ended with status 0
    And questions asked after that went elsewhere

  Scenario: SIGTERM on an entry cuts off no stream
    Given a fleet of 2 entries and 1 local process
    When 12 streams run and an entry gets SIGTERM
    Then each question got its own whole answer
    And that process ended with status 0

  Scenario: A leaving entry takes requests until the balancer has seen it
    Given a fleet of 2 entries and 1 local process
    When callers go on asking an entry that gets SIGTERM until it is not ready
    Then each question got its own whole answer
    And that process ended with status 0

  Scenario: A second SIGTERM says what it cuts
    Given a fleet of 1 entry and 1 local process
    When a stream runs and the local process gets SIGTERM twice
    Then that process ended with status 1

  Scenario: A VM that the list shows as leaving gets no new work within 2 s
    Given a site
    When the VM list shows a replica as leaving
    Then it gets no question after 2 s

  Scenario: An operator drains a VM and takes that back
    Given a site
    When an operator drains a replica
    Then it gets no question after 0 s
    When the operator takes the drain back
    Then it gets questions again
