#include "Runtime/NumericAddress.h"

#include <Poco/Ascii.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <algorithm>

namespace parsleywing {

namespace {

constexpr unsigned MaxPort = 65535;

} // namespace

bool isNumericAddress(const std::string &Value) {
  const std::size_t Colon = Value.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Host = Value.substr(0, Colon);
  const std::string Port = Value.substr(Colon + 1);
  const bool Bracketed =
      Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  unsigned Number = 0;
  Poco::Net::IPAddress Parsed;
  if (!Poco::Net::IPAddress::tryParse(Host, Parsed) ||
      !std::ranges::all_of(Port, Poco::Ascii::isDigit) ||
      !Poco::NumberParser::tryParseUnsigned(Port, Number))
    return false;
  const bool Version6 = Parsed.family() == Poco::Net::IPAddress::IPv6;
  return Version6 == Bracketed && Number >= 1 && Number <= MaxPort;
}

} // namespace parsleywing
