#include "Gateway/FleetUpdateItems.h"

#include "Runtime/Overloaded.h"

#include <Poco/Exception.h>
#include <algorithm>

namespace parsleywing {

namespace {

/// Changes in one message: one takes some 110 bytes, and a datagram 1,400.
constexpr std::size_t UsualItems = 10;

FleetUpdateItem itemOf(const StoredServer &Listed) {
  FleetUpdateItem Item;
  Item.Kind = FleetUpdateKind::ServerListed;
  Item.Name = Listed.Server.Id;
  Item.ModRevision = Listed.ModRevision;
  Item.Address = Listed.Server.Address.toString();
  Item.Service = Listed.Server.Service;
  Item.Zone = Listed.Server.Zone;
  Item.Slots = Listed.Server.Slots;
  Item.Draining = Listed.Server.Draining;
  Item.StartedMs = Listed.Server.StartedMs;
  if (Listed.Server.WarmUpLeft)
    Item.WarmUpLeftMs = static_cast<std::int32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(*Listed.Server.WarmUpLeft)
            .count());
  return Item;
}

/// An item that says no more than what has changed, and when.
FleetUpdateItem plainItem(FleetUpdateKind Kind, const std::string &Name,
                          Revision At) {
  FleetUpdateItem Item;
  Item.Kind = Kind;
  Item.Name = Name;
  Item.ModRevision = At;
  return Item;
}

FleetUpdateItem itemOf(const RemovedServer &Gone) {
  return plainItem(FleetUpdateKind::ServerRemoved, Gone.Id, Gone.ModRevision);
}

FleetUpdateItem itemOf(const UnusableServer &Written) {
  return plainItem(FleetUpdateKind::ServerUnusable, Written.Id,
                   Written.ModRevision);
}

FleetUpdateItem itemOf(const StoredRouter &Listed) {
  FleetUpdateItem Item;
  Item.Kind = FleetUpdateKind::RouterListed;
  Item.Name = Listed.Name;
  Item.ModRevision = Listed.ModRevision;
  Item.Address = Listed.Address;
  Item.Cores = Listed.Cores;
  Item.Zone = Listed.Zone;
  return Item;
}

FleetUpdateItem itemOf(const RemovedRouter &Gone) {
  return plainItem(FleetUpdateKind::RouterRemoved, Gone.Name, Gone.ModRevision);
}

FleetUpdateItem itemOf(const EvacuatedZone &Asked) {
  return plainItem(FleetUpdateKind::ZoneEvacuated, Asked.Zone,
                   Asked.ModRevision);
}

FleetUpdateItem itemOf(const RestoredZone &Taken) {
  return plainItem(FleetUpdateKind::ZoneRestored, Taken.Zone,
                   Taken.ModRevision);
}

} // namespace

std::vector<FleetUpdateItem> itemsAfter(const FleetHistory &History,
                                        Revision Seen) {
  std::vector<FleetUpdateItem> Items;
  const auto Add = [&Items, Seen](const auto &Change) {
    if (Change.ModRevision > Seen)
      Items.push_back(itemOf(Change));
  };
  for (const auto &Each : History.Changes)
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
  std::size_t Last = std::min(First + UsualItems, Items.size());
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
    if (Item.WarmUpLeftMs >= 0)
      Server.WarmUpLeft = std::chrono::milliseconds(Item.WarmUpLeftMs);
    return StoredServer{std::move(Server), Item.ModRevision};
  }
  case FleetUpdateKind::ServerRemoved:
    return RemovedServer{Item.Name, Item.ModRevision};
  case FleetUpdateKind::ServerUnusable:
    return UnusableServer{Item.Name, Item.ModRevision, "told by the relay"};
  case FleetUpdateKind::RouterListed:
    return StoredRouter{Item.Name, Item.Address, Item.Cores, Item.ModRevision,
                        0,         Item.Zone};
  case FleetUpdateKind::RouterRemoved:
    return RemovedRouter{Item.Name, Item.ModRevision};
  case FleetUpdateKind::ZoneEvacuated:
    return EvacuatedZone{Item.Name, Item.ModRevision};
  case FleetUpdateKind::ZoneRestored:
    return RestoredZone{Item.Name, Item.ModRevision};
  }
  throw Poco::DataFormatException("an unknown kind of change");
}

} // namespace parsleywing
