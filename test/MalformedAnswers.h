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

} // namespace parsleywing::test

#endif
