Feature: Online requests
  A caller of the published interface gets the complete answer to its own
  request, or a clear and accurate refusal.

  Scenario: Many requests at once each get their own complete answer
    Given a site
    When 40 requests are sent at once
    Then each request got its own complete answer
    And a trace joins the entry and the local process

  Scenario Outline: Bad input gets a clear refusal and does not affect other requests
    Given a site
    When the request "<case>" is sent
    Then the answer has status <status>, kind "<kind>" and says ran "no"
    And a request still gets its complete answer

    Examples:
      | case              | status | kind             |
      | broken JSON       | 400    | invalid_request  |
      | no model          | 400    | invalid_request  |
      | unknown model     | 404    | model_not_found  |
      | wrong key         | 401    | unauthenticated  |
      | no key            | 401    | unauthenticated  |
      | 20 MB body        | 413    | body_too_large   |
      | bad idempotency   | 400    | invalid_request  |
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

  Scenario: A plain service is called with any method and a query
    Given a site
    When the track "t1" is read through the service
    Then the service answered
    When a credit for "t1" is paid
    Then the service was paid 1 time for "t1"

  Scenario: A call that may not be repeated is sent once when its answer is lost
    Given a site
    When the plain service loses the answer to a credit for "t2"
    Then the answer says that it is not known whether it ran
    And the service was paid 1 time for "t2"

  Scenario: A stream whose upstream crashes continues on another upstream
    Given a site with slow engines
    When a long request is sent and its upstream crashes midway
    Then that request got its own complete answer

  Scenario: An upstream that crashes gets no more requests, and its work is retried
    Given a site
    When an upstream VM is lost and 30 requests are sent
    Then each request got its own complete answer

  Scenario: Requests are answered while the key-value service is down
    Given a site
    And the key-value service is down
    When 20 requests are sent at once
    Then each request got its own complete answer

  Scenario: A customer over its rate is refused with a time to retry
    Given a site where "suva-design-shop" may send 5 requests a second
    When 40 requests are sent at once
    Then some were refused with kind "limit_reached" and a time to retry
    And no more than 12 were answered

  Scenario: Metrics and health pages of both daemons
    Given a site
    When 3 requests are sent at once
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
    When no upstream of the plain service accepts work
    And a credit for "t6" is paid again with key "k6"
    Then the answer has status 503, kind "no_upstream" and says ran "no"
    When the plain service accepts work again
    And a credit for "t6" is paid again with key "k6"
    Then the service was paid 1 time for "t6"
