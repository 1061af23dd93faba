Feature: A client that nobody here wrote
  The official client works against the demo, as a newcomer would run it.

  Scenario: Streamed chat and a batch of 300 items
    Given the demo held as a process of its own
    When the official client streams a chat
    Then the chat is whole
    When the official client runs a batch of 300 items
    Then each item comes back once
    And the process ends cleanly when it is interrupted
