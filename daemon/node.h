// One entry host: its services, its configuration and its part among the other
// hosts.

#ifndef MIMOSA_DAEMON_NODE_H
#define MIMOSA_DAEMON_NODE_H

#include "config/config_holder.h"
#include "daemon/options.h"
#include "daemon/query_runner.h"
#include "platform/http_key_value_store.h"

namespace mimosa {

class Node {
public:
  Node(FiberLoop &Loop, const DaemonOptions &Options);
  ~Node();

  void start();
  QueryAnswer query(const QueryRequest &Request,
                    const std::shared_ptr<CallerSignals> &Caller);
  NodeContext &context() { return Context; }

private:
  void watchConfig(StoreVersion Known);
  void adoptConfig(const std::string &Text, ConfigSource Source);
  void applyConfig();

  DaemonOptions Options;
  SeededRandom Rand;
  MetricsRegistry Metrics;
  PeerTraffic Traffic;
  PeerClient Peers;
  NodeContext Context;
  HttpKeyValueStore Store;
  ConfigHolder Holder;
  QueryRunner Queries;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceNode>> Services;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_NODE_H
