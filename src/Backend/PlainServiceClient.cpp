#include "Backend/PlainServiceClient.h"

#include "Backend/PlainAttempt.h"

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <array>

namespace parsleywing {

namespace {

constexpr const char *ConnectionHeader = "Connection";

constexpr std::array<std::string_view, 9> HopByHopNames{
    "connection", "keep-alive",        "proxy-authenticate",
    "te",         "proxy-connection",  "proxy-authorization",
    "trailer",    "transfer-encoding", "upgrade"};

/// Returns the header names listed in the `Connection` headers.
std::vector<std::string> namedByConnection(const HeaderList &Headers) {
  std::vector<std::string> Named;
  for (const auto &[Name, Value] : Headers) {
    if (Poco::icompare(Name, ConnectionHeader) != 0)
      continue;
    const Poco::StringTokenizer Tokens(Value, ",",
                                       Poco::StringTokenizer::TOK_TRIM);
    Named.insert(Named.end(), Tokens.begin(), Tokens.end());
  }
  return Named;
}

} // namespace

bool isHopByHop(std::string_view Name) {
  const std::string Lower = Poco::toLower(std::string(Name));
  return std::ranges::find(HopByHopNames, Lower) != HopByHopNames.end();
}

HeaderList endToEndHeaders(const HeaderList &Headers) {
  const std::vector<std::string> Named = namedByConnection(Headers);
  HeaderList EndToEnd;
  for (const auto &[Name, Value] : Headers) {
    const bool IsNamed =
        std::ranges::any_of(Named, [&Header = Name](const std::string &Other) {
          return Poco::icompare(Header, Other) == 0;
        });
    if (!IsNamed && !isHopByHop(Name))
      EndToEnd.emplace_back(Name, Value);
  }
  return EndToEnd;
}

PlainResult PlainServiceClient::run(const PlainCall &Call,
                                    const PlainListener &Listener) {
  return internal::PlainAttempt(Call, Listener, this->Settings, this->Counters,
                                this->Pool)
      .run();
}

} // namespace parsleywing
