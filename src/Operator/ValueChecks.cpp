#include "Operator/ValueChecks.h"

#include <Poco/Ascii.h>
#include <algorithm>

namespace parsleywing {

namespace {

constexpr std::size_t Sha256HexLength = 64;

bool isNameCharacter(char C) {
  return Poco::Ascii::isAlphaNumeric(C) || C == '.' || C == '_' || C == '-';
}

} // namespace

bool isName(const std::string &Value) {
  return !Value.empty() && Value.size() <= MaxNameLength &&
         Poco::Ascii::isAlphaNumeric(Value.front()) &&
         std::ranges::all_of(Value, isNameCharacter);
}

bool isSha256Hex(const std::string &Value) {
  return Value.size() == Sha256HexLength &&
         std::ranges::all_of(Value, Poco::Ascii::isHexDigit);
}

} // namespace parsleywing
