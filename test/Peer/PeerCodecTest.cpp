#include "Peer/PeerCodec.h"
#include "Peer/PeerArchive.h"
#include "Peer/PeerPair.h"
#include "Peer/ReplayWindow.h"

#include <criterion/criterion.h>
#include <random>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

const PeerHeader SomeHeader{RouterId{1}, 7, RouterId{2}, 3};

} // namespace

Test(PeerCodec, PartsComeBackAsTheyWere) {
  const PeerCodec Codec("secret");
  const std::string Parts = PeerCodec::encodePart(partOf(10, 5)) +
                            PeerCodec::encodePart(partOf(100'000, 6));
  const auto Opened = Codec.open(Codec.seal(SomeHeader, Parts));
  cr_assert(Opened.has_value());
  cr_assert_eq(Opened->Header.Life, 7);
  cr_assert_eq(Opened->Parts.size(), 2);
  const auto &Second = std::get<MembershipMessage>(Opened->Parts[1]);
  cr_assert_eq(Second.Number, 6);
  cr_assert_eq(Second.Records.at(0).Name.size(), 100'000);
}

// Symptom: a router takes part in a fleet that is not its own.
// Sequence: a datagram arrives that was sealed with another secret.
// Cause: test and production fleets share a network.
// Fails without the comparison of the checksum; see docs/PEERS.md, mutation 9.
Test(PeerCodec, AnotherSecretIsRefused) {
  const std::string Sealed =
      PeerCodec("other").seal(SomeHeader, PeerCodec::encodePart(partOf(10)));
  const auto Opened = PeerCodec("secret").open(Sealed);
  cr_assert_not(Opened.has_value());
  cr_assert(Opened.error() == PeerDrop::WrongSecret);
}

// Symptom: a router dies of an exception, or of its memory.
// Sequence: 20,000 datagrams with any bytes changed, cut or added arrive;
// half are sealed anew, so that the checksum lets them pass.
// Cause: sizes in the bytes are believed.
Test(PeerCodec, GarbledBytesNeverThrow) {
  const PeerCodec Codec("secret");
  const std::string Part = PeerCodec::encodePart(partOf(20));
  std::mt19937 Random(4);
  for (int Try = 0; Try < 20'000; ++Try) {
    std::string Bytes = Part;
    for (int Change = 0; Change < 3; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Bytes.resize(Random() % (Bytes.size() + 4));
    std::string Sealed = Codec.seal(SomeHeader, Bytes);
    if (Try % 2 == 0)
      Sealed[Random() % Sealed.size()] ^= 1;
    (void)Codec.open(Sealed);
  }
}

// Symptom: a router is killed for its memory.
// Sequence: a message claims a list of 2^34 rumours and ends there.
// Cause: the size is believed and memory taken for all of them.
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

// Symptom: a router of an older version drops all that a newer one sends.
// Sequence: a datagram holds a part of an alternative that is not known here.
// Cause: routers are replaced one by one, so two versions run side by side.
Test(PeerCodec, UnknownPartIsSkipped) {
  const PeerCodec Codec("secret");
  std::string Unknown = PeerCodec::encodePart(partOf(10));
  Unknown[0] = static_cast<char>(200);
  const auto Opened = Codec.open(
      Codec.seal(SomeHeader, Unknown + PeerCodec::encodePart(partOf(1, 9))));
  cr_assert(Opened.has_value());
  cr_assert_eq(Opened->UnreadableParts, 1);
  cr_assert_eq(Opened->Parts.size(), 1);
  cr_assert_eq(std::get<MembershipMessage>(Opened->Parts[0]).Number, 9);
}

// Symptom: an account is charged twice for one report.
// Sequence: the network doubles and reorders datagrams; numbers wrap.
// Cause: UDP does neither prevent nor tell it.
Test(PeerCodec, DoubledDatagramsAreSeenOnce) {
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
