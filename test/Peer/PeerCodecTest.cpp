#include "Peer/PeerCodec.h"
#include "Peer/PeerArchive.h"
#include "Peer/PeerOutbox.h"
#include "Peer/PeerPair.h"
#include "Peer/ReplayWindow.h"

#include <criterion/criterion.h>
#include <random>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

const PeerHeader TestHeader{RouterId{1}, 7, RouterId{2}, 3};

} // namespace

Test(PeerCodec, EncodedPartsRoundTrip) {
  const PeerCodec Codec("secret");
  const std::string Parts = PeerCodec::encodePart(partOf(10, 5)) +
                            PeerCodec::encodePart(partOf(100'000, 6));
  const auto Decoded = Codec.open(Codec.seal(TestHeader, Parts));
  cr_assert(Decoded.has_value());
  cr_assert_eq(Decoded->Header.IncarnationNumber, 7);
  cr_assert_eq(Decoded->Parts.size(), 2);
  const auto &Second = std::get<MembershipMessage>(Decoded->Parts[1]);
  cr_assert_eq(Second.Number, 6);
  cr_assert_eq(Second.Records.at(0).Name.size(), 100'000);
}

// Guards against a router that accepts messages of another fleet, for instance
// when test and production fleets share a network: a datagram arrives that was
// sealed with another secret. Fails without the comparison of the checksum; see
// docs/PEERS.md, mutation 9.
Test(PeerCodec, MessageWithOtherSecretIsRejected) {
  const std::string Sealed =
      PeerCodec("other").seal(TestHeader, PeerCodec::encodePart(partOf(10)));
  const auto Decoded = PeerCodec("secret").open(Sealed);
  cr_assert_not(Decoded.has_value());
  cr_assert(Decoded.error() == PeerDrop::WrongSecret);
}

// Guards against a router that crashes on an exception or on excessive memory
// use when it trusts the sizes in a message. 20,000 datagrams arrive with
// arbitrary bytes changed, removed or added; half have a valid checksum, so
// that they reach the decoder.
Test(PeerCodec, CorruptBytesNeverThrow) {
  const PeerCodec Codec("secret");
  const std::string Part = PeerCodec::encodePart(partOf(20));
  std::mt19937 Random(4);
  for (int Iteration = 0; Iteration < 20'000; ++Iteration) {
    std::string Bytes = Part;
    for (int Change = 0; Change < 3; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Bytes.resize(Random() % (Bytes.size() + 4));
    std::string Sealed = Codec.seal(TestHeader, Bytes);
    if (Iteration % 2 == 0)
      Sealed[Random() % Sealed.size()] ^= 1;
    (void)Codec.open(Sealed);
  }
}

// Guards against a router that is killed for its memory use: a message claims a
// list of 2^34 rumours and ends there, and memory is allocated for all of them.
// Fails without the bound in `PeerInputArchive::readSize`; see docs/PEERS.md,
// mutation 10.
Test(PeerCodec, ForgedSizeAllocatesNothing) {
  std::string Bytes;
  PeerOutputArchive Ar(Bytes);
  Ar(MembershipKind::Ping, std::uint32_t{1}, std::uint64_t{0},
     std::uint64_t{0});
  Ar.writeSize(std::uint64_t{1} << 34);
  MembershipMessage Message;
  PeerInputArchive In(Bytes);
  cr_assert_throw(In(Message), cereal::Exception);
  cr_assert_eq(Message.Rumours.capacity(), 0);
}

// Guards against a router that drops all messages of a newer version because a
// datagram contains a part with an unknown alternative. Routers are replaced
// one by one, so two versions run side by side.
Test(PeerCodec, UnknownPartIsSkipped) {
  const PeerCodec Codec("secret");
  std::string Unknown = PeerCodec::encodePart(partOf(10));
  Unknown[0] = static_cast<char>(200);
  const auto Decoded = Codec.open(
      Codec.seal(TestHeader, Unknown + PeerCodec::encodePart(partOf(1, 9))));
  cr_assert(Decoded.has_value());
  cr_assert_eq(Decoded->UnreadableParts, 1);
  cr_assert_eq(Decoded->Parts.size(), 1);
  cr_assert_eq(std::get<MembershipMessage>(Decoded->Parts[0]).Number, 9);
}

// Guards against routers of the previous version that misread crash facts, and
// against datagrams that are too large for them.
Test(PeerCodec, CrashFactsAreTheLastAlternativeAndFitIntoADatagram) {
  constexpr std::size_t FactsPerDatagram = 25;
  constexpr std::size_t IndexOfCrashFacts = 4;
  const CrashFact Fact{{1, 2, 3}, {4, 5}, true, 6};
  const PeerPart Part = CrashFacts{true, {FactsPerDatagram, Fact}};
  cr_assert_eq(Part.index(), IndexOfCrashFacts);
  cr_assert_eq(std::variant_size_v<PeerPart>, IndexOfCrashFacts + 1);
  const std::string Encoded = PeerCodec::encodePart(Part);
  cr_assert_leq(Encoded.size(), DatagramPartBytes);
  const PeerCodec Codec("secret");
  const auto Decoded = Codec.open(Codec.seal(TestHeader, Encoded));
  cr_assert(Decoded.has_value());
  const auto &Facts = std::get<CrashFacts>(Decoded->Parts.at(0));
  cr_assert(Facts.WantsReply);
  cr_assert_eq(Facts.Facts.size(), FactsPerDatagram);
  cr_assert(Facts.Facts.back().Request == Fact.Request);
  cr_assert(Facts.Facts.back().Process == Fact.Process);
  cr_assert(Facts.Facts.back().Cleared);
  cr_assert_eq(Facts.Facts.back().AgeSeconds, 6U);
}

// Guards against an account that is charged twice for one report: the network
// duplicates and reorders datagrams, which UDP neither prevents nor reports,
// and sequence numbers wrap around.
Test(PeerCodec, DuplicateDatagramsAreRejected) {
  ReplayWindow Window;
  cr_assert(Window.accept(1, 0xfffffffe));
  cr_assert(Window.accept(1, 1));
  cr_assert(Window.accept(1, 0xffffffff));
  cr_assert_not(Window.accept(1, 1));
  cr_assert_not(Window.accept(1, 0xfffffffe));
  cr_assert(Window.accept(1, 500));
  cr_assert_not(Window.accept(1, 400));
  cr_assert(Window.accept(2, 1));
  cr_assert_not(Window.accept(2, 1));
}
