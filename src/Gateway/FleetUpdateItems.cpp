#include "Gateway/FleetUpdateItems.h"

#include "Runtime/Overloaded.h"

#include "Runtime/NumericAddress.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <limits>
#include <utility>

namespace parsleywing {

namespace {

/// Usual number of items in one message. An item takes about 120 bytes, and a
/// datagram holds 1,400.
constexpr std::size_t ItemsPerMessage = 10;

FleetUpdateItem itemOf(const StoredServer &Stored) {
  FleetUpdateItem Item;
  Item.Kind = FleetUpdateKind::ServerListed;
  Item.Name = Stored.Server.Id;
  Item.ModRevision = Stored.ModRevision;
  Item.Address = Stored.Server.Address.toString();
  Item.Service = Stored.Server.Service;
  Item.Zone = Stored.Server.Zone;
  Item.Slots = Stored.Server.Slots;
  Item.Draining = Stored.Server.Draining;
  Item.StartedMs = Stored.Server.StartedMs;
  Item.Version = Stored.Server.Version;
  if (Stored.Server.WarmUpLeft)
    Item.WarmUpLeftMs = static_cast<std::int32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(*Stored.Server.WarmUpLeft)
            .count());
  return Item;
}

/// An item with only the kind, the name and the revision of a change.
FleetUpdateItem minimalItem(FleetUpdateKind Kind, const std::string &Name,
                            Revision ModRevision) {
  FleetUpdateItem Item;
  Item.Kind = Kind;
  Item.Name = Name;
  Item.ModRevision = ModRevision;
  return Item;
}

FleetUpdateItem itemOf(const RemovedServer &Removed) {
  return minimalItem(FleetUpdateKind::ServerRemoved, Removed.Id,
                     Removed.ModRevision);
}

FleetUpdateItem itemOf(const InvalidServerEntry &Invalid) {
  return minimalItem(FleetUpdateKind::ServerUnusable, Invalid.Id,
                     Invalid.ModRevision);
}

FleetUpdateItem itemOf(const StoredRouter &Stored) {
  FleetUpdateItem Item;
  Item.Kind = FleetUpdateKind::RouterListed;
  Item.Name = Stored.Name;
  Item.ModRevision = Stored.ModRevision;
  Item.Address = Stored.Address;
  Item.Cores = Stored.Cores;
  Item.Zone = Stored.Zone;
  Item.Format = Stored.Format;
  return Item;
}

FleetUpdateItem itemOf(const RemovedRouter &Removed) {
  return minimalItem(FleetUpdateKind::RouterRemoved, Removed.Name,
                     Removed.ModRevision);
}

FleetUpdateItem itemOf(const EvacuatedZone &Evacuated) {
  return minimalItem(FleetUpdateKind::ZoneEvacuated, Evacuated.Zone,
                     Evacuated.ModRevision);
}

FleetUpdateItem itemOf(const RestoredZone &Restored) {
  return minimalItem(FleetUpdateKind::ZoneRestored, Restored.Zone,
                     Restored.ModRevision);
}

/// The items of changes after a revision and up to another one.
std::vector<FleetUpdateItem> itemsOf(const FleetHistory::Changes &Changes,
                                     Revision After, Revision To) {
  std::vector<FleetUpdateItem> Items;
  const auto Add = [&](const auto &Change) {
    if (Change.ModRevision > After && Change.ModRevision <= To)
      Items.push_back(itemOf(Change));
  };
  for (const auto &Each : Changes)
    std::visit(Overloaded{[](const StoredConfiguration &) {}, Add}, *Each);
  std::stable_sort(
      Items.begin(), Items.end(),
      [](const FleetUpdateItem &Left, const FleetUpdateItem &Right) {
        return Left.ModRevision < Right.ModRevision;
      });
  return Items;
}

/// The end of the changes that go into one message.
std::size_t endOfMessage(const std::vector<FleetUpdateItem> &Items,
                         std::size_t First) {
  std::size_t Last = std::min(First + ItemsPerMessage, Items.size());
  while (Last > First && Last < Items.size() &&
         Items[Last].ModRevision == Items[Last - 1].ModRevision)
    ++Last;
  return Last;
}

/// Collects messages up to a limit.
class UpdateWriter {
public:
  UpdateWriter(Revision Seen, std::size_t Max) : Reached(Seen), Limit(Max) {}

  /// The revision that a receiver of all messages knows.
  Revision reached() const { return this->Reached; }
  std::vector<FleetUpdate> take() { return std::move(this->Messages); }

  /// Adds the changes that the watch reported, up to a revision.
  void addChanges(const FleetHistory::Changes &Changes, Revision To) {
    const std::vector<FleetUpdateItem> Items =
        itemsOf(Changes, this->Reached, To);
    std::size_t First = 0;
    while (this->Reached < To && !this->isFull()) {
      const std::size_t Last = endOfMessage(Items, First);
      // The follower detects that it stays behind and reads the store itself.
      if (Last - First > MaxUpdateItems)
        break;
      const bool More = Last < Items.size();
      this->add(More ? Items[Last].ModRevision - 1 : To,
                {Items.begin() + static_cast<std::ptrdiff_t>(First),
                 Items.begin() + static_cast<std::ptrdiff_t>(Last)},
                FleetUpdateSource::Watch);
      First = Last;
    }
  }

  /// Adds the differences behind a gap, if all changes before it were added.
  void addDifferences(const FleetHistory::Gap &Gap) {
    if (this->Reached == Gap.After && !this->isFull())
      this->add(
          Gap.To,
          itemsOf(Gap.Differences, 0, std::numeric_limits<Revision>::max()),
          FleetUpdateSource::Lists);
  }

private:
  bool isFull() const { return this->Messages.size() >= this->Limit; }

  void add(Revision To, std::vector<FleetUpdateItem> Items,
           FleetUpdateSource Source) {
    FleetUpdate Message;
    Message.AfterRevision = this->Reached;
    Message.ToRevision = To;
    Message.Items = std::move(Items);
    Message.Source = Source;
    this->Messages.push_back(std::move(Message));
    this->Reached = To;
  }

  Revision Reached;
  std::size_t Limit;
  std::vector<FleetUpdate> Messages;
};

} // namespace

std::vector<FleetUpdate> updatesAfter(const FleetHistory &History,
                                      Revision Seen, Revision Newest,
                                      std::size_t MaxMessages) {
  UpdateWriter Writer(Seen, MaxMessages);
  const auto &Gap = History.gap();
  if (Gap && Seen <= Gap->After) {
    Writer.addChanges(History.changes(), Gap->After);
    Writer.addDifferences(*Gap);
    if (Writer.reached() < Gap->To)
      return Writer.take();
  }
  Writer.addChanges(History.changes(), Newest);
  return Writer.take();
}

FleetChange changeOf(const FleetUpdateItem &Item) {
  switch (Item.Kind) {
  case FleetUpdateKind::ServerListed: {
    GatewayServer Server;
    Server.Id = Item.Name;
    Server.Service = Item.Service;
    Server.Address = Poco::Net::SocketAddress(Item.Address);
    Server.Zone = Item.Zone;
    Server.Slots = Item.Slots;
    Server.Draining = Item.Draining;
    Server.StartedMs = Item.StartedMs;
    Server.Version = Item.Version;
    if (Item.WarmUpLeftMs >= 0)
      Server.WarmUpLeft = std::chrono::milliseconds(Item.WarmUpLeftMs);
    return StoredServer{std::move(Server), Item.ModRevision};
  }
  case FleetUpdateKind::ServerRemoved:
    return RemovedServer{Item.Name, Item.ModRevision};
  case FleetUpdateKind::ServerUnusable:
    return InvalidServerEntry{Item.Name, Item.ModRevision,
                              "reported by the relay"};
  case FleetUpdateKind::RouterListed:
    // A relay of an earlier release passes on entries that name no address.
    if (!isNumericAddress(Item.Address))
      return RemovedRouter{Item.Name, Item.ModRevision};
    return StoredRouter{Item.Name,
                        Item.Address,
                        Item.Cores,
                        Item.ModRevision,
                        /*Lease=*/0,
                        Item.Zone,
                        std::min(Item.Format, NewestMessageFormat)};
  case FleetUpdateKind::RouterRemoved:
    return RemovedRouter{Item.Name, Item.ModRevision};
  case FleetUpdateKind::ZoneEvacuated:
    return EvacuatedZone{Item.Name, Item.ModRevision};
  case FleetUpdateKind::ZoneRestored:
    return RestoredZone{Item.Name, Item.ModRevision};
  }
  throw Poco::DataFormatException("unknown kind of change");
}

} // namespace parsleywing
