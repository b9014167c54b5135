Feature: Callers outside the limits do not end the program

  The crowds and the bounds are fixed.  The memory is that of the smallest VM.

  Background:
    Given a process of the program with 160 MB and 500 descriptors

  Scenario Outline: A crowd that sends <kind>
    When <connections> connections to its front port send <kind>, up to <bytes> bytes each
    Then the process lives
    And an ordinary job is accepted
    And its memory stayed under 160 MB
    And its descriptors stayed under 500

    Examples:
      | kind                                    | connections | bytes   |
      | short header lines of legal total size  | 600         | 16384   |
      | short header lines without end          | 16          | 1000000 |
      | odd header lines without end            | 24          | 2000000 |
      | heads over the limit                    | 60          | 1000000 |
      | one header value without end            | 32          | 6000000 |
      | a path without end                      | 32          | 6000000 |
      | empty lines without end                 | 16          | 2000000 |
      | trailers without end                    | 16          | 1000000 |
      | a chunk extension without end           | 16          | 2000000 |
      | chunk extensions without end            | 16          | 2000000 |
      | slow heads                              | 600         | 200     |
      | bodies announced and never sent         | 600         | 1000    |
      | bodies all but one byte                 | 600         | 300000  |
      | pipelined requests                      | 40          | 1000000 |
      | silence                                 | 1000        | 0       |

  Scenario Outline: Jobs of legal size that take much memory: <kind>
    When 12 connections to its front port send <kind>, up to 300000 bytes each
    Then the process lives
    And an ordinary job is accepted
    And its memory stayed under 160 MB
    And its descriptors stayed under 500

    Examples:
      | kind                    |
      | jobs of very many steps |
      | jobs of very many tasks |

  Scenario Outline: What has no end is turned away: <kind>
    When 8 connections to its front port send <kind>, up to 2000000 bytes each
    Then it has ended every connection of the crowd
    And the process lives
    And an ordinary job is accepted

    Examples:
      | kind                           |
      | short header lines without end |
      | one header value without end   |
      | empty lines without end        |
      | trailers without end           |
      | a chunk extension without end  |
      | chunk extensions without end   |
      | slow heads                     |

  Scenario Outline: A crowd at the <port> port that sends <kind>
    When <connections> connections to its <port> port send <kind>, up to <bytes> bytes each
    Then the process lives
    And an ordinary job is accepted
    And its memory stayed under 160 MB
    And its descriptors stayed under 500

    Examples:
      | port    | kind                           | connections | bytes   |
      | ready   | short header lines without end | 16          | 1000000 |
      | ready   | bodies all but one byte        | 600         | 300000  |
      | ready   | silence                        | 600         | 0       |
      | metrics | one header value without end   | 32          | 6000000 |
      | metrics | pipelined requests             | 40          | 1000000 |
      | metrics | slow heads                     | 600         | 200     |
      | peer    | short header lines without end | 16          | 1000000 |
      | peer    | silence                        | 600         | 0       |

  Scenario: Two crowds at once
    When these connections send at the same time
      | kind                           | port  | connections | bytes   |
      | short header lines without end | front | 16          | 1000000 |
      | bodies all but one byte        | front | 300         | 300000  |
      | silence                        | ready | 300         | 0       |
    Then the process lives
    And an ordinary job is accepted
    And its memory stayed under 160 MB
    And its descriptors stayed under 500

  Scenario: One request right at the limits is served
    When a caller sends one request right at the limits
    Then it is accepted
    And its memory stayed under 160 MB
