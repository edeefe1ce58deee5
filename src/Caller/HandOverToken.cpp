#include "Caller/HandOverToken.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

namespace parsleywing {

namespace {

constexpr const char *RecordHeldField = "record-held";
constexpr const char *NoRecordField = "no-record";
constexpr std::size_t TokenFields = 3;

/// SHA-256 engine for POCO's HMAC, which requires these constants (in bytes);
/// POCO's SHA-2 engine does not define them.
class Sha256 : public Poco::SHA2Engine {
public:
  // NOLINTNEXTLINE(readability-identifier-naming)
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
};

/// Adds a field to the signature, preceded by its length. Otherwise bytes could
/// be moved between adjacent fields without changing the signature.
void addField(Poco::HMACEngine<Sha256> &Engine, const std::string &Field) {
  Engine.update(std::to_string(Field.size()) + ":");
  Engine.update(Field);
}

std::string signatureOf(const HandOverToken &Token, const RawRequest &Request,
                        const std::string &Secret) {
  Poco::HMACEngine<Sha256> Engine(Secret);
  addField(Engine, Token.Identity);
  addField(Engine, Token.RecordHeld ? RecordHeldField : NoRecordField);
  addField(Engine, Request.Method);
  addField(Engine, Request.Target);
  addField(Engine, Request.header("Authorization"));
  addField(Engine, Request.header("Idempotency-Key"));
  addField(Engine, Request.Body);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

/// Compares in constant time, so that the timing does not reveal how many
/// leading characters of a forged signature are correct.
bool equalSignatures(const std::string &One, const std::string &Other) {
  if (One.size() != Other.size())
    return false;
  unsigned Different = 0;
  for (std::size_t Index = 0; Index < One.size(); ++Index)
    Different |= static_cast<unsigned char>(One[Index]) ^
                 static_cast<unsigned char>(Other[Index]);
  return Different == 0;
}

} // namespace

std::string RawRequest::header(const std::string &Name) const {
  for (const auto &[HeaderName, Value] : this->Headers)
    if (Poco::icompare(HeaderName, Name) == 0)
      return Value;
  return {};
}

std::string signHandOverToken(const HandOverToken &Token,
                              const RawRequest &Request,
                              const std::string &Secret) {
  return Token.Identity + " " +
         (Token.RecordHeld ? RecordHeldField : NoRecordField) + " " +
         signatureOf(Token, Request, Secret);
}

std::optional<HandOverToken> verifyHandOverToken(const std::string &Value,
                                                 const RawRequest &Request,
                                                 const std::string &Secret) {
  const Poco::StringTokenizer Fields(Value, " ");
  if (Secret.empty() || Fields.count() != TokenFields || Fields[0].empty())
    return std::nullopt;
  const HandOverToken Token{Fields[0], Fields[1] == RecordHeldField};
  if (!equalSignatures(Fields[2], signatureOf(Token, Request, Secret)))
    return std::nullopt;
  return Token;
}

} // namespace parsleywing
