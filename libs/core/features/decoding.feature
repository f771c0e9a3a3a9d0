Feature: Decoding of what others wrote
  Odd JSON is refused with one error. What is accepted can be held, compared and encoded
  again.

  Scenario Outline: JSON that would harm whoever holds it is refused
    When the JSON text <text> is parsed
    Then it is refused

    Examples:
      | text                                     |
      | of a list nested 100000 deep             |
      | of an object nested 100000 deep          |
      | of a list nested 40 deep                 |
      | of a list that is never closed           |
      | of an integer of 5000 digits             |
      | "9223372036854775808"                    |
      | "1e999"                                  |
      | "-1e999"                                 |
      | "NaN"                                    |
      | "[Infinity]"                             |
      | of a lone surrogate                      |
      | of a lone surrogate as a key             |
      | of bytes that are not UTF-8              |
      | "{'a': 1}"                               |
      | "[1,]"                                   |
      | ""                                       |

  Scenario Outline: JSON that harms nobody is accepted
    When the JSON text <text> is parsed
    Then its value is <value>

    Examples:
      | text                        | value           |
      | "9223372036854775807"       | "9223372036854775807" |
      | of a surrogate pair         | "'\U0001f600'"  |
      | of a NUL                    | "'\x00'"        |
      | "{"a": 1, "a": 2}"          | "{'a': 2}"      |
      | of a list nested 30 deep    | a list          |

  # Guards against texts that take many times their bytes once they are parsed
  Scenario Outline: The values of a text are counted before it is parsed
    When the JSON text <text> is checked to hold at most 3 values
    Then it is <decision>

    Examples:
      | text                    | decision |
      | "[1,2]"                 | accepted |
      | "[1,2,3]"               | refused  |
      | "{"a": 1, "b": 2}"      | accepted |
      | "{"a": 1, "b": [2]}"    | refused  |
      | "[[],[]]"               | refused  |
      | "["a,b,c,d,[{"]"        | accepted |
      | "["a\",,,,[{", 1]"      | accepted |
      | of a list nested 40 deep | refused |

  Scenario Outline: The elements of an array are told apart whatever they hold
    When an array of 1, <element> and 2 is split
    Then its elements are 1, that one and 2

    Examples:
      | element                                  |
      | of a list nested 100000 deep             |
      | of an object nested 100000 deep          |
      | of an integer of 5000 digits             |
      | "NaN"                                    |
      | of an object with brackets in its text   |
      | "[,,]"                                   |
      | of bytes that are not UTF-8              |
      | ""                                       |

  Scenario: The time to split an array grows with its size alone
    When an array of 2000000 bytes of brackets and quotes is split
    Then that took less than 10 s

  Scenario Outline: Only a dotted IPv4 address with a port is an address
    When the address <text> is read
    Then it is refused

    Examples:
      | text                        |
      | "10.0.0.1"                  |
      | "10.0.0.1:"                 |
      | "10.0.0.1:0"                |
      | "10.0.0.1:-1"               |
      | "10.0.0.1:+80"              |
      | "10.0.0.1: 80"              |
      | "10.0.0.1:65536"            |
      | "10.0.0.1:70000"            |
      | "10.0.0.1:99999999999999999999" |
      | "10.0.0.1:８０"              |
      | "10.0.0.1:8_0"              |
      | "10.0.0.1:80\x00"           |
      | "10.0.0.1\x00:80"           |
      | "10.0.0.256:80"             |
      | "10.0.0:80"                 |
      | "010.0.0.1:80"              |
      | "a..b:80"                   |
      | "localhost:80"              |
      | "::1:80"                    |
      | "[::1]:80"                  |
      | ":80"                       |
      | ""                          |

  Scenario: A dotted IPv4 address with a port is an address
    When the address "10.0.0.1:65535" is read
    Then it is port 65535 of "10.0.0.1"
