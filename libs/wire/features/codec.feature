Feature: Encoding of messages
  Any bytes from a peer decode to a message or raise a typed error.

  Scenario: Random bytes decode to a message or raise a decode error
    When 20000 random byte strings of seed 1 are decoded as frames and messages
    Then each input gave a message or a decode error

  Scenario: Corrupted messages decode to a message or raise a decode error
    When each kind of message is encoded, corrupted 300 times with seed 2 and decoded
    Then each input gave a message or a decode error

  Scenario: An oversized length field causes no large allocation
    When a frame that declares a body of 1000000000 bytes is decoded
    Then each input gave a message or a decode error
    And the memory peak stayed below 8 MB

  Scenario: An oversized list count is rejected without iterating
    When a list that declares 2000000000 zero-byte elements is decoded
    Then each input gave a message or a decode error

  # Guards against a frame that keeps the event loop for seconds
  Scenario Outline: A list of many small elements takes few steps to check
    When a list of <count> elements of type <kind>, <size> bytes each, is checked
    Then it is <decision> in less than 100 steps

    Examples:
      | kind | size | count   | decision |
      | 2    | 1    | 4000000 | accepted |
      | 10   | 8    | 500000  | accepted |
      | 12   | 1    | 4000000 | refused  |
      | 11   | 4    | 1000000 | refused  |

  Scenario Outline: A message with a text that is not UTF-8 or a number that is none is refused
    When each <part> of each kind of message is replaced by <odd>
    Then each such message gave a decode error

    Examples:
      | part   | odd                  |
      | text   | bytes that are no UTF-8 |
      | number | NaN                  |

  Scenario: A message of an older version lacks a field that was added with a default
    When a granted slot without its newest field is decoded
    Then the slot's runner is "r1" and nothing of its request is watched

  Scenario: The structs are those that the thrift library's parser makes
    When the description of the messages is parsed by the thrift library
    Then each struct has the same fields, types and defaults

  Scenario: A line of the message description that is not understood is an error
    When the description "struct A {|1: map<string, i32> counts|}" is read
    Then line 2 of the description is rejected
