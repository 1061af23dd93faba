Feature: Leaving
  A graceful stop aborts no request, and a leaving process gets no new work.

  Scenario: SIGTERM on a local process aborts no stream
    Given a fleet of 1 entry and 2 local processes
    When 12 streams run and a local process gets SIGTERM
    Then each request got its own complete answer
    And that process exited with status 0
    And requests sent after that are served by other processes

  Scenario: SIGTERM on an entry aborts no stream
    Given a fleet of 2 entries and 1 local process
    When 12 streams run and an entry gets SIGTERM
    Then each request got its own complete answer
    And that process exited with status 0

  Scenario: A leaving entry accepts requests until it reports that it is not ready
    Given a fleet of 2 entries and 1 local process
    When callers keep sending to an entry that gets SIGTERM until it is not ready
    Then each request got its own complete answer
    And that process exited with status 0

  Scenario: A second SIGTERM reports the aborted requests
    Given a fleet of 1 entry and 1 local process
    When a stream runs and the local process gets SIGTERM twice
    Then that process exited with status 1

  Scenario: A VM that the list shows as leaving gets no new work within 2 s
    Given a site
    When the VM list shows a replica as leaving
    Then it gets no request after 2 s

  Scenario: An operator drains a VM and undoes it
    Given a site
    When an operator drains a replica
    Then it gets no request after 0 s
    When the operator undoes the drain
    Then it gets requests again
