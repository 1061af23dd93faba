Feature: Online requests
  A caller of the published interface gets the whole answer to its own
  request, or a clear refusal that is true.

  Scenario: Many questions at once each get their own whole answer
    Given a site
    When 40 questions are asked at once
    Then each question got its own whole answer
    And a trace joins the entry and the local process

  Scenario Outline: Bad input gets a clear refusal and harms nothing else
    Given a site
    When the request "<case>" is sent
    Then the answer has status <status>, kind "<kind>" and says ran "no"
    And a question still gets its whole answer

    Examples:
      | case              | status | kind             |
      | broken JSON       | 400    | invalid_request  |
      | no model          | 400    | invalid_request  |
      | unknown model     | 404    | model_not_found  |
      | wrong key         | 401    | unauthenticated  |
      | no key            | 401    | unauthenticated  |
      | 20 MB body        | 413    | body_too_large   |
      | odd idempotency   | 400    | invalid_request  |
      | unknown path      | 404    | not_found        |
      | wrong method      | 405    | method_not_allowed |
      | unknown service   | 404    | not_found        |
      | line without id   | 400    | invalid_request  |
      | duplicate ids     | 400    | invalid_request  |
      | broken line       | 400    | invalid_request  |
      | two models        | 400    | invalid_request  |
      | empty file        | 400    | invalid_request  |
      | wrong purpose     | 400    | invalid_request  |
      | no form           | 400    | invalid_request  |
      | unknown file      | 404    | not_found        |
      | other endpoint    | 400    | invalid_request  |

  Scenario: A plain service is reached with any method and its query
    Given a site
    When the track "t1" is read through the service
    Then the service answered
    When a credit for "t1" is paid
    Then the service was paid 1 time for "t1"

  Scenario: A call that may not be repeated is sent once when its answer is lost
    Given a site
    When the plain service loses the answer to a credit for "t2"
    Then the caller is told that it is not known whether it ran
    And the service was paid 1 time for "t2"

  Scenario: A stream whose upstream dies goes on elsewhere unbroken
    Given a site with slow engines
    When a long question is asked and its upstream dies midway
    Then that question got its own whole answer

  Scenario: An upstream that dies gets no more requests, and its work is retried
    Given a site
    When an upstream VM is lost and 30 questions are asked
    Then each question got its own whole answer

  Scenario: The key-value service is down and questions are answered
    Given a site
    And the key-value service is down
    When 20 questions are asked at once
    Then each question got its own whole answer

  Scenario: A customer over its rate is refused and told when to come back
    Given a site where "suva-design-shop" may ask 5 times a second
    When 40 questions are asked at once
    Then some were refused with kind "limit_reached" and a time to come back
    And no more than 12 were answered

  Scenario: Pages of both daemons
    Given a site
    When 3 questions are asked at once
    Then the metrics of an entry show first tokens
    And the metrics of a local process show queueing
    And every daemon is healthy and ready

  Scenario: A resend with the same key on another entry does not run it again
    Given a site
    When a credit for "t3" is paid 6 times at once with key "k3" on all entries
    Then the service was paid 1 time for "t3"
    And each answer is the same, or says that it is not known whether it ran
    When a credit for "t3" is paid again with key "k3"
    Then the answer is the first one
    When a credit for "t4" is paid again with key "k3"
    Then the answer has status 409, kind "key_reused" and says ran "no"
    And the service was paid 0 times for "t4"

  Scenario: A keyed request is not run while the key-value service is down
    Given a site
    And the key-value service is down
    When a credit for "t5" is paid again with key "k5"
    Then the answer has status 503, kind "platform_down" and says ran "no"
    And the service was paid 0 times for "t5"

  Scenario: A keyed request that was refused before it ran may be sent again
    Given a site
    When no upstream of the plain service takes work
    And a credit for "t6" is paid again with key "k6"
    Then the answer has status 503, kind "no_upstream" and says ran "no"
    When the plain service takes work again
    And a credit for "t6" is paid again with key "k6"
    Then the service was paid 1 time for "t6"
