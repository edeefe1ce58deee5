#ifndef PARSLEYWING_TEST_MALFORMEDANSWERS_H
#define PARSLEYWING_TEST_MALFORMEDANSWERS_H

#include <string>
#include <vector>

namespace parsleywing::test {

/// An answer that is none in the protocol, but has the form of one.
struct MalformedAnswer {
  std::string Name;
  std::string Bytes;
};

/// Answers with a status line that is not whole.
inline std::vector<MalformedAnswer> malformedStatusLines() {
  const std::string Rest = "\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                           "Content-Length: 5\r\n\r\nhello";
  return {{"status 000", "HTTP/1.1 000 Any" + Rest},
          {"status 099", "HTTP/1.1 099 Any" + Rest},
          {"status 600", "HTTP/1.1 600 Any" + Rest},
          {"status 999", "HTTP/1.1 999 Any" + Rest},
          {"status of two digits", "HTTP/1.1 20 Any" + Rest},
          {"status of four digits", "HTTP/1.1 2000 Any" + Rest},
          {"status with a sign", "HTTP/1.1 +20 Any" + Rest},
          {"no status", "HTTP/1.1 OK" + Rest},
          {"no version", "200 OK" + Rest},
          {"another version", "HTTP/3.0 200 OK" + Rest},
          {"control byte in the reason", "HTTP/1.1 200 O\x01K" + Rest},
          {"line feed in the reason", "HTTP/1.1 200 OK\nA: b" + Rest},
          {"carriage return in the reason", "HTTP/1.1 200 O\rK" + Rest},
          {"interim answer with status 000",
           "HTTP/1.1 000 Any\r\n\r\nHTTP/1.1 200 OK" + Rest},
          {"control byte in the reason of an interim answer",
           "HTTP/1.1 100 A\x01\r\n\r\nHTTP/1.1 200 OK" + Rest}};
}

/// Answers with fields that are not well formed, in the head, in an interim
/// answer or in the trailers.
inline std::vector<MalformedAnswer> malformedFields() {
  const std::string Start = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                            "Response-Seal: s\r\n";
  const std::string Sized = "Content-Length: 5\r\n\r\nhello";
  const std::string Chunks =
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
  return {
      {"blank in a name", Start + "Odd Name: x\r\n" + Sized},
      {"blank behind a name", Start + "Content-Length : 5\r\n\r\nhello"},
      {"tab in a name", Start + "Odd\tName: x\r\n" + Sized},
      {"control byte in a name", Start + "Odd\x01Name: x\r\n" + Sized},
      {"null byte in a name",
       Start + std::string("Odd\0Name: x\r\n", 13) + Sized},
      {"high byte in a name", Start + "Odd\xe9Name: x\r\n" + Sized},
      {"separator in a name", Start + "Odd(Name): x\r\n" + Sized},
      {"no name", Start + ": x\r\n" + Sized},
      {"no colon", Start + "Odd\r\n" + Sized},
      {"folded line", Start + "Odd: x\r\n y\r\n" + Sized},
      {"control byte in a value", Start + "Odd: x\x01y\r\n" + Sized},
      {"null byte in a value",
       Start + std::string("Odd: x\0y\r\n", 10) + Sized},
      {"delete byte in a value", Start + "Odd: x\x7fy\r\n" + Sized},
      {"line feed in a value", Start + "Odd: x\nA: b\r\n" + Sized},
      {"carriage return in a value", Start + "Odd: x\rA: b\r\n" + Sized},
      {"two lengths", Start + "Content-Length: 3\r\n" + Sized},
      {"length and chunks", Start + "Content-Length: 5\r\n" + Chunks + "\r\n"},
      {"length with a sign", Start + "Content-Length: +5\r\n\r\nhello"},
      {"blank in a name of an interim answer",
       "HTTP/1.1 100 Continue\r\nOdd Name: x\r\n\r\n" + Start + Sized},
      {"chunk without size", Start + "Transfer-Encoding: chunked\r\n\r\n"
                                     "5\r\nhello\r\nzz\r\n"},
      {"blank in a name of a trailer", Start + Chunks + "Odd Name: x\r\n\r\n"},
      {"control byte in a name of a trailer",
       Start + Chunks + "Odd\x01Name: x\r\n\r\n"},
      {"control byte in a value of a trailer",
       Start + Chunks + "Odd: x\x01y\r\n\r\n"},
      {"trailer without colon", Start + Chunks + "Odd\r\n\r\n"},
  };
}

} // namespace parsleywing::test

#endif
