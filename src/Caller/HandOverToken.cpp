#include "Caller/HandOverToken.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

namespace parsleywing {

namespace {

constexpr const char *HeldWord = "record-held";
constexpr const char *NotHeldWord = "no-record";
constexpr std::size_t WordsOfNote = 3;

/// POCO's HMAC asks its engine for these sizes, in bytes, under names of POCO's
/// own style, and its SHA-2 has none.
class Sha256 : public Poco::SHA2Engine {
public:
  // NOLINTNEXTLINE(readability-identifier-naming)
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
};

/// The length goes before each part, else parts could be shifted into one
/// another under the same proof.
void addPart(Poco::HMACEngine<Sha256> &Engine, const std::string &Part) {
  Engine.update(std::to_string(Part.size()) + ":");
  Engine.update(Part);
}

std::string proofOf(const HandOverToken &Note, const RawRequest &Request,
                    const std::string &Secret) {
  Poco::HMACEngine<Sha256> Engine(Secret);
  addPart(Engine, Note.Identity);
  addPart(Engine, Note.RecordHeld ? HeldWord : NotHeldWord);
  addPart(Engine, Request.Method);
  addPart(Engine, Request.Target);
  addPart(Engine, Request.header("Authorization"));
  addPart(Engine, Request.header("Idempotency-Key"));
  addPart(Engine, Request.Body);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

/// Takes the same time wherever the two differ, so that a proof cannot be
/// guessed piece by piece.
bool sameProof(const std::string &One, const std::string &Other) {
  if (One.size() != Other.size())
    return false;
  unsigned Different = 0;
  for (std::size_t Place = 0; Place < One.size(); ++Place)
    Different |= static_cast<unsigned char>(One[Place]) ^
                 static_cast<unsigned char>(Other[Place]);
  return Different == 0;
}

} // namespace

std::string RawRequest::header(const std::string &Name) const {
  for (const auto &[Each, Value] : this->Headers)
    if (Poco::icompare(Each, Name) == 0)
      return Value;
  return {};
}

std::string signHandOverToken(const HandOverToken &Note,
                              const RawRequest &Request,
                              const std::string &Secret) {
  return Note.Identity + " " + (Note.RecordHeld ? HeldWord : NotHeldWord) +
         " " + proofOf(Note, Request, Secret);
}

std::optional<HandOverToken> verifyHandOverToken(const std::string &Value,
                                                 const RawRequest &Request,
                                                 const std::string &Secret) {
  const Poco::StringTokenizer Words(Value, " ");
  if (Secret.empty() || Words.count() != WordsOfNote || Words[0].empty())
    return std::nullopt;
  const HandOverToken Note{Words[0], Words[1] == HeldWord};
  if (!sameProof(Words[2], proofOf(Note, Request, Secret)))
    return std::nullopt;
  return Note;
}

} // namespace parsleywing
