#include "Gateway/FleetNewsItems.h"

#include "Runtime/Overloaded.h"

#include <Poco/Exception.h>
#include <algorithm>

namespace parsleywing {

namespace {

/// Changes in one message: one takes some 110 bytes, and a datagram 1,400.
constexpr std::size_t UsualItems = 10;

NewsItem itemOf(const StoredServer &Listed) {
  NewsItem Item;
  Item.Kind = NewsKind::ServerListed;
  Item.Name = Listed.Server.Id;
  Item.At = Listed.At;
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
NewsItem plainItem(NewsKind Kind, const std::string &Name, Revision At) {
  NewsItem Item;
  Item.Kind = Kind;
  Item.Name = Name;
  Item.At = At;
  return Item;
}

NewsItem itemOf(const RemovedServer &Gone) {
  return plainItem(NewsKind::ServerRemoved, Gone.Id, Gone.At);
}

NewsItem itemOf(const UnusableServer &Written) {
  return plainItem(NewsKind::ServerUnusable, Written.Id, Written.At);
}

NewsItem itemOf(const StoredRouter &Listed) {
  NewsItem Item;
  Item.Kind = NewsKind::RouterListed;
  Item.Name = Listed.Name;
  Item.At = Listed.At;
  Item.Address = Listed.Address;
  Item.Capacity = Listed.Capacity;
  Item.Zone = Listed.Zone;
  return Item;
}

NewsItem itemOf(const RemovedRouter &Gone) {
  return plainItem(NewsKind::RouterRemoved, Gone.Name, Gone.At);
}

NewsItem itemOf(const EvacuatedZone &Asked) {
  return plainItem(NewsKind::ZoneEvacuated, Asked.Zone, Asked.At);
}

NewsItem itemOf(const ReturnedZone &Taken) {
  return plainItem(NewsKind::ZoneReturned, Taken.Zone, Taken.At);
}

} // namespace

std::vector<NewsItem> itemsBehind(const FleetHistory &History, Revision Seen) {
  std::vector<NewsItem> Items;
  const auto Add = [&Items, Seen](const auto &Change) {
    if (Change.At > Seen)
      Items.push_back(itemOf(Change));
  };
  for (const auto &Each : History.Changes)
    std::visit(Overloaded{[](const StoredConfiguration &) {}, Add}, *Each);
  std::stable_sort(Items.begin(), Items.end(),
                   [](const NewsItem &Left, const NewsItem &Right) {
                     return Left.At < Right.At;
                   });
  return Items;
}

std::size_t endOfMessage(const std::vector<NewsItem> &Items,
                         std::size_t First) {
  std::size_t Last = std::min(First + UsualItems, Items.size());
  while (Last > First && Last < Items.size() &&
         Items[Last].At == Items[Last - 1].At)
    ++Last;
  return Last;
}

FleetChange changeOf(const NewsItem &Item) {
  switch (Item.Kind) {
  case NewsKind::ServerListed: {
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
    return StoredServer{std::move(Server), Item.At};
  }
  case NewsKind::ServerRemoved:
    return RemovedServer{Item.Name, Item.At};
  case NewsKind::ServerUnusable:
    return UnusableServer{Item.Name, Item.At, "told by the relay"};
  case NewsKind::RouterListed:
    return StoredRouter{Item.Name, Item.Address, Item.Capacity, Item.At,
                        0,         Item.Zone};
  case NewsKind::RouterRemoved:
    return RemovedRouter{Item.Name, Item.At};
  case NewsKind::ZoneEvacuated:
    return EvacuatedZone{Item.Name, Item.At};
  case NewsKind::ZoneReturned:
    return ReturnedZone{Item.Name, Item.At};
  }
  throw Poco::DataFormatException("an unknown kind of change");
}

} // namespace parsleywing
