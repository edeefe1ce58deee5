#include "Placement/RouterMessages.h"

#include <criterion/criterion.h>
#include <string>

using namespace parsleywing;

namespace {

std::string bytesOf(std::initializer_list<unsigned char> Values) {
  return {Values.begin(), Values.end()};
}

/// A `GrantEnded` as routers of the release before send and read it.
std::string olderGrantEnded() {
  return bytesOf({0x34, 0x41, 0x57, 0x50, 6, 1, 0, 0, 0, 0, 0,
                  0,    0,    2,    0,    0, 0, 0, 0, 0, 0, 4});
}

/// A `FleetUpdate` with one listed server, in the same way.
std::string olderFleetUpdate() {
  return bytesOf({0x34, 0x41, 0x57, 0x50, 10}) +
         bytesOf({1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0}) +
         bytesOf({5, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1}) +
         bytesOf({0, 2, 's', '1', 8, 0, 0, 0, 0, 0, 0, 0, 3, 'a', ':', '1'}) +
         bytesOf({1, 'm', 1, 'z', 7, 0, 0, 0, 1, 6, 0, 0, 0, 0, 0, 0, 0}) +
         bytesOf({0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0xe0, 0x3f});
}

FleetUpdate makeUpdate() {
  FleetUpdate Update{{1, 2}, 5, 9, {}};
  FleetUpdateItem Item;
  Item.Name = "s1";
  Item.ModRevision = 8;
  Item.Address = "a:1";
  Item.Service = "m";
  Item.Zone = "z";
  Item.Slots = 7;
  Item.Draining = true;
  Item.StartedMs = 6;
  Item.Cores = 0.5;
  Item.Version = "v1";
  Update.Items.push_back(Item);
  return Update;
}

} // namespace

// Guards against routers of two releases that cannot read each other's
// messages: the bytes of the earlier format never change.
Test(MessageFormat, theFormatBeforeIsKeptByteForByte) {
  cr_assert_eq(encodeMessages({GrantEnded{{1, 2}, ServerVerdict::Silent}},
                              MessageFormat::WithoutStreams),
               olderGrantEnded());
  cr_assert_eq(encodeMessages({makeUpdate()}, MessageFormat::WithoutStreams),
               olderFleetUpdate());
  const auto Decoded = decodeMessages(olderFleetUpdate());
  cr_assert(Decoded.has_value());
  const auto &Item = std::get<FleetUpdate>(Decoded->at(0)).Items.at(0);
  cr_assert_eq(Item.Name, "s1");
  cr_assert_eq(Item.Version, "");
  cr_assert(Item.Format == MessageFormat::WithoutStreams);
}

Test(MessageFormat, theNewFormatHasVersionsAndStreams) {
  StreamsBound Bound;
  Bound.Bindings.push_back({{11}, {22}, 33});
  const std::string Bytes =
      encodeMessages({makeUpdate(), Bound, StreamQuery{{1, 2}, {11}},
                      StreamAnswer{{1, 2}, 5, StreamLookupResult::Known, {22}},
                      StreamSyncRequest{{}, 5}});
  cr_assert(formatOf(Bytes) == NewestMessageFormat);
  const auto Decoded = decodeMessages(Bytes);
  cr_assert(Decoded.has_value());
  cr_assert_eq(Decoded->size(), 5U);
  cr_assert_eq(std::get<FleetUpdate>(Decoded->at(0)).Items.at(0).Version, "v1");
  const StreamBinding &Binding =
      std::get<StreamsBound>(Decoded->at(1)).Bindings.at(0);
  cr_assert_eq(Binding.Key.Value, 11U);
  cr_assert_eq(Binding.Software.Value, 22U);
  cr_assert_eq(Binding.LifetimeTenths, 33U);
  cr_assert_eq(std::get<StreamQuery>(Decoded->at(2)).Key.Value, 11U);
  cr_assert(std::get<StreamAnswer>(Decoded->at(3)).Result ==
            StreamLookupResult::Known);
  cr_assert_eq(std::get<StreamSyncRequest>(Decoded->at(4)).Router, 5U);
}

// Guards against load reports that reach routers which cannot read them, and
// against figures that change on the way.
Test(MessageFormat, loadReportsNeedTheirFormat) {
  const ServerLoadReport Report{{1, 2}, 3, 4, 5, 6, 7, 8, 250};
  cr_assert_not(isKnownIn(MessageFormat::WithHeadroom, Report));
  cr_assert(isKnownIn(MessageFormat::WithServerLoad, Report));
  const auto Decoded = decodeMessages(encodeMessages({Report}));
  cr_assert(Decoded.has_value());
  const auto &Read = std::get<ServerLoadReport>(Decoded->at(0));
  cr_assert_eq(Read.Server, 3U);
  cr_assert_eq(Read.ServerStartedMs, 4);
  cr_assert_eq(Read.AgeMs, 5U);
  cr_assert_eq(Read.Running, 6U);
  cr_assert_eq(Read.Waiting, 7U);
  cr_assert_eq(Read.Slots, 8U);
  cr_assert_eq(Read.WorkTimePercent, 250U);
}

// Guards against queries that a router of the release before cannot read, and
// against a report whose fields are exchanged on the way.
Test(MessageFormat, headroomMessagesAreKnownFromTheirFormatOn) {
  const HeadroomQuery Query{{1, 2}};
  const HeadroomReport Report{{1, 2}, 250, 3, "10.0.0.1:80"};
  const RelayedConnectionsClose Close{{}, true};
  cr_assert_not(isKnownIn(MessageFormat::WithPartCrashes, Close));
  cr_assert_not(isKnownIn(MessageFormat::WithPartCrashes, Query));
  cr_assert_not(isKnownIn(MessageFormat::WithPartCrashes, Report));
  cr_assert(isKnownIn(MessageFormat::WithPartCrashes, PartCrashReport{}));
  const auto Decoded = decodeMessages(
      encodeMessages({Query, Report, Close}, MessageFormat::WithHeadroom));
  cr_assert(Decoded.has_value());
  cr_assert(std::get<HeadroomQuery>(Decoded->at(0)).Id == Query.Id);
  const auto &Read = std::get<HeadroomReport>(Decoded->at(1));
  cr_assert(Read.Id == Report.Id);
  cr_assert_eq(Read.SpareMsPerSecond, 250U);
  cr_assert_eq(Read.LagMs, 3U);
  cr_assert_eq(Read.CallerAddress, Report.CallerAddress);
  cr_assert(std::get<RelayedConnectionsClose>(Decoded->at(2)).IdleToo);
}

// Guards against a router that takes messages of a later release for its own.
Test(MessageFormat, unknownFormatsAreRefused) {
  constexpr int FirstUnknown = static_cast<int>(NewestMessageFormat) + 1 + 0x30;
  for (const int Number : {0x33, FirstUnknown}) {
    std::string Bytes = olderGrantEnded();
    Bytes[0] = static_cast<char>(Number);
    cr_assert_not(decodeMessages(Bytes).has_value());
    cr_assert_not(formatOf(Bytes).has_value());
  }
}

// Guards against a router that takes the changes of an earlier release for
// complete, and one of an earlier release that cannot read the new ones.
Test(MessageFormat, onlyTheNewFormatStatesHowChangesAreKnown) {
  FleetUpdate Update = makeUpdate();
  Update.Source = FleetUpdateSource::Lists;
  FleetStatus Status;
  Status.HistoryIsComplete = true;
  const auto Older = decodeMessages(
      encodeMessages({Update, Status}, MessageFormat::WithServerLoad));
  cr_assert(Older.has_value());
  cr_expect(std::get<FleetUpdate>(Older->at(0)).Source ==
            FleetUpdateSource::Unknown);
  cr_expect_eq(std::get<FleetUpdate>(Older->at(0)).Items.size(), 1U);
  cr_expect_not(std::get<FleetStatus>(Older->at(1)).HistoryIsComplete);
  const auto Newer = decodeMessages(encodeMessages({Update, Status}));
  cr_assert(Newer.has_value());
  cr_expect(std::get<FleetUpdate>(Newer->at(0)).Source ==
            FleetUpdateSource::Lists);
  cr_expect(std::get<FleetStatus>(Newer->at(1)).HistoryIsComplete);
}
