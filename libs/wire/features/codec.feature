Feature: Encoding of messages
  Bytes from a peer are a message or a typed error.

  Scenario: Any bytes are a message or a decode error
    When 20000 byte strings chosen with seed 1 are decoded as frames and messages
    Then each gave a message or a decode error

  Scenario: Changed bytes are a message or a decode error
    When each kind of message is encoded, changed 300 times with seed 2 and decoded
    Then each gave a message or a decode error

  Scenario: A message that claims more than it holds costs no memory
    When a frame that claims a body of 1000000000 bytes is decoded
    Then each gave a message or a decode error
    And the memory peak stayed below 8 MB

  Scenario: A list that claims more than it holds costs no time
    When a list of 2000000000 elements without bytes is decoded
    Then each gave a message or a decode error
