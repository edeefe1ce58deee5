#ifndef PARSLEYWING_STANDIN_STOREHANDLER_H
#define PARSLEYWING_STANDIN_STOREHANDLER_H

#include "standin/StoreStandIn.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace parsleywing::standin {

/// Handles one call to the store's stand-in.
class StoreHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit StoreHandler(StoreStandIn &S) : Store(S) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override;

private:
  using Lock = std::unique_lock<std::mutex>;

  void serveCall(StoreCall Kind, Poco::Net::HTTPServerRequest &Request,
                 Poco::Net::HTTPServerResponse &Response);
  void serveControl(Poco::Net::HTTPServerRequest &Request,
                    Poco::Net::HTTPServerResponse &Response);
  void serveWatch(const Poco::JSON::Object &Body,
                  Poco::Net::HTTPServerRequest &Request,
                  Poco::Net::HTTPServerResponse &Response);
  int perform(StoreCall Kind, const Poco::JSON::Object &Body,
              Poco::JSON::Object &Reply);
  int performLease(StoreCall Kind, const Poco::JSON::Object &Body,
                   Poco::JSON::Object &Reply);
  bool isSilent(const std::string &Peer) const;
  bool isOverRateLimit();
  void waitWhile(Lock &Guard, const std::function<bool()> &Condition);

  StoreStandIn &Store;
};

} // namespace parsleywing::standin

#endif
