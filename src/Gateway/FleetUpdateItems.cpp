#include "Gateway/FleetUpdateItems.h"

#include "Runtime/Overloaded.h"

#include "Runtime/NumericAddress.h"

#include <Poco/Exception.h>
#include <algorithm>

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

} // namespace

std::vector<FleetUpdateItem> itemsAfter(const FleetHistory &History,
                                        Revision Seen) {
  std::vector<FleetUpdateItem> Items;
  const auto Add = [&Items, Seen](const auto &Change) {
    if (Change.ModRevision > Seen)
      Items.push_back(itemOf(Change));
  };
  for (const auto &Each : History.changes())
    std::visit(Overloaded{[](const StoredConfiguration &) {}, Add}, *Each);
  std::stable_sort(
      Items.begin(), Items.end(),
      [](const FleetUpdateItem &Left, const FleetUpdateItem &Right) {
        return Left.ModRevision < Right.ModRevision;
      });
  return Items;
}

std::size_t endOfMessage(const std::vector<FleetUpdateItem> &Items,
                         std::size_t First) {
  std::size_t Last = std::min(First + ItemsPerMessage, Items.size());
  while (Last > First && Last < Items.size() &&
         Items[Last].ModRevision == Items[Last - 1].ModRevision)
    ++Last;
  return Last;
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
