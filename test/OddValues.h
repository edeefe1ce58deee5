#ifndef PARSLEYWING_TEST_ODDVALUES_H
#define PARSLEYWING_TEST_ODDVALUES_H

#include <string>
#include <utility>
#include <vector>

namespace parsleywing::test {

/// The names and sound values of an entry's fields.
using EntryFields = std::vector<std::pair<std::string, std::string>>;

inline constexpr int OddDepth = 90'000;

inline std::string repeated(const std::string &Text, int Count) {
  std::string Out;
  for (int I = 0; I < Count; ++I)
    Out += Text;
  return Out;
}

/// Values that another writer may leave in place of any field of an entry.
inline std::vector<std::string> oddValues() {
  return {repeated("[", OddDepth) + repeated("]", OddDepth),
          repeated(R"({"a":)", OddDepth) + "1" + repeated("}", OddDepth),
          repeated("[", OddDepth),
          "1e400",
          "-1e400",
          "99999999999999999999999999",
          "-99999999999999999999999999",
          "9223372036854775807",
          "18446744073709551616",
          "-1",
          "0.5",
          "null",
          "true",
          "[]",
          "{}",
          R"("")",
          R"("127.0.0.1:65536")",
          R"("127.0.0.1:99999999999999999999")",
          R"("127.0.0.1:0")",
          R"("127.0.0.1:-1")",
          R"("127.0.0.1")",
          R"("example.invalid:80")",
          R"("[::1:80")"};
}

/// The entry with this value in place of one field; whole if there is none.
inline std::string entryOf(const EntryFields &Fields,
                           const std::string &Odd = "",
                           const std::string &Value = "") {
  std::string Text;
  for (const auto &[Name, Sound] : Fields)
    Text += (Text.empty() ? "{\"" : ",\"") + Name +
            "\":" + (Name == Odd ? Value : Sound);
  return Text + "}";
}

} // namespace parsleywing::test

#endif
