Feature: Odd entries in the platform's store
  An odd entry of another writer costs that entry alone; the others hold.

  Scenario Outline: An entry that can't be read does not end the list or the watch of its kind
    Given sound entries of the runners "r1" and "r3", and one of "r2" that is <odd>
    Then a <read> gives the runners "r1" and "r3", and "r2" names none

    Examples:
      | odd                                 | read  |
      | nested 100000 deep                  | list  |
      | nested 100000 deep                  | watch |
      | nested 500 deep                     | list  |
      | nested 500 deep                     | watch |
      | an integer of 5000 digits           | list  |
      | an integer of 5000 digits           | watch |
      | 1e999                               | list  |
      | NaN                                 | watch |
      | a lone surrogate                    | list  |
      | a lone surrogate                    | watch |
      | not UTF-8                           | list  |
      | not UTF-8                           | watch |
      | not JSON                            | list  |
      | not JSON                            | watch |
      | empty                               | list  |
      | a list                              | watch |

  Scenario: Entries without a readable name or revision are left out of the list and the watch
    Given sound entries of the runners "r1" and "r3", and others without name or revision
    Then a list gives the runners "r1" and "r3"
    And a watch gives the runners "r1" and "r3"

  Scenario: Odd entries at the end of a page do not hide the next page
    Given a page of runners that ends with entries without a name, and another page
    Then all runners of both pages are listed

  Scenario: A single entry that can't be read is an object without content
    Given sound entries of the runners "r1" and "r3", and one of "r2" that is nested 100000 deep
    Then a read of "r2" names no runner

  Scenario Outline: Any odd value in place of any part is refused with the decoder's own error
    When each part of a sound <document> is replaced by each odd value
    Then each is refused with the error of its decoder, or harms nobody

    Examples:
      | document           |
      | runner             |
      | configuration      |
      | job of a caller    |
      | stored job         |
      | status of a job    |
      | list of items      |
      | list of results    |
      | report of a runner |

  Scenario Outline: A runner's entry with an odd part names no runner
    Given the entry of a runner with <text> as its "<key>"
    Then it names no runner

    Examples:
      | key     | text                          |
      | Addr    | "10.0.0.1:70000"              |
      | Addr    | "10.0.0.1:-1"                 |
      | Addr    | "10.0.0.1:0"                  |
      | Addr    | "10.0.0.1:99999999999999999999" |
      | Addr    | "a..b:80"                     |
      | Addr    | "localhost:80"                |
      | Addr    | "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa:80" |
      | Addr    | "10.0.0.1\u0000:80"           |
      | Slots   | 4611686018427387904           |
      | Slots   | 1.5                           |
      | Service | ""                            |
      | State   | ["ready"]                     |

  Scenario Outline: A runner whose name can't be sent in a header is none
    Given the entry of a runner with the name <name>
    Then it names no runner

    Examples:
      | name        |
      | "r\n1"      |
      | "r\u0000"   |
      | "r\u4e00"   |
      | " r"        |

  Scenario Outline: A job with an item that can't be sent to a runner is refused
    Given a caller's job whose item has <text> as its "<key>"
    Then the job is refused

    Examples:
      | key     | text                          |
      | Id      | ""                            |
      | Id      | 7                             |
      | Id      | "a\r\nb"                      |
      | Id      | "a\u0000"                     |
      | Id      | "\u4e00"                      |
      | Path    | ""                            |
      | Path    | "n/1"                         |
      | Path    | "/n 1"                        |
      | Path    | "/n\r\nX: y"                  |
      | Path    | "/\u4e00"                     |
      | Headers | {"X-Model": "a\r\nb"}         |
      | Headers | {"X Model": "a"}              |
      | Headers | {"": "a"}                     |
      | Headers | {"X-Model": "\u4e00"}         |
      | Headers | {"X-Model": 7}                |
      | Headers | {"X-Model": "a\u0000"}        |
      | Headers | []                            |
      | Headers | {"X-Model": {"deep": [[[[1]]]]}} |
      | Body    | "***"                         |
      | Body    | 7                             |
      | Tokens  | -1                            |
      | Tokens  | true                          |
      | Tokens  | 1.5                           |
      | Tokens  | "7"                           |
      | Tokens  | 99999999999999999999          |

  Scenario: A job with two items of one id is refused
    Given a caller's job with two items of one id
    Then the job is refused

  Scenario: Headers of an item that belong to its connection are not sent on
    Given a caller's job whose item has {"Host": "x", "Content-Length": "7", "Transfer-Encoding": "chunked", "X-Model": "m"} as its "Headers"
    Then its item is sent with the headers "x-model,x-request-id"
