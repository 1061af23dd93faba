Feature: Requests that crash upstreams
  A caller kept repeating a request that crashed each replica that ran it. An
  attempt was passed on to a second replica at once (`stream_resumed` 16 ms
  after the first crash), and the caller's next attempt reached another entry
  0.2 s later. No entry knew what the others had seen: four replicas crashed
  within 0.43 s, 33 in one day. Requests of other callers failed with them, some
  of them twice, since they were passed on to the same replicas as the request
  that caused the crashes.

  Scenario: A request that crashes replicas is refused after the third
    Given a hosted site of 2 entries and 5 replicas
    When a caller repeats a request that crashes replicas for 5 s
    Then at most 3 replicas have crashed
    And that caller gets a final refusal and is not asked to retry
    And each other caller got its complete answer

  Scenario: A prompt that crashes engines is refused after the third
    Given a site
    When a caller repeats a prompt that crashes engines for 4 s
    Then at most 3 engines have crashed
    And the prompt gets a final refusal and is not asked to retry
    And each other request got its own complete answer
