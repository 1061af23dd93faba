Feature: The official client
  The official client works against the demo with its default settings.

  Scenario: Streamed chat and a batch of 300 items
    Given the demo serving in a separate process
    When the official client streams a chat
    Then the chat is complete
    When the official client runs a batch of 300 items
    Then each item is returned once
    And the process exits with status 0 when it is interrupted
