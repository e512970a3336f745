// All hosts of a zone ask their leader at once for many changes, since the
// leader before it has failed, or since many backend servers were replaced.

#include "runtime/child_process_test_util.h"
#include "store_cache/store_cache_relay.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

constexpr size_t Followers = 56;
constexpr size_t ChangedServers = 850;
/// Bytes per second of the link that a host is assumed to have.
constexpr size_t LinkBytesPerSecond = 100 * 1000 * 1000 / 8;
/// The rest of the link is for callers and backend servers.
constexpr double RelayShare = 0.5;
constexpr Duration Window = Milliseconds(100);
/// A follower waits this long for its reply.
constexpr Duration FollowerPatience = Milliseconds(1400);

/// The entry of one backend server, as the platform writes it.
StoreItem serverItem(size_t Number) {
  size_t Mixed = Number * 2654435761U % 4294967291U;
  std::string Id = "i-" + std::to_string(Mixed);
  std::string Value = R"({"service":"s)" + std::to_string(Mixed % 135) +
                      R"(","address":"10.1.)" + std::to_string(Mixed % 250) +
                      "." + std::to_string(Mixed / 250 % 250) +
                      R"(:8781","zone":"zone-north","version":"v1","slots":7,)"
                      R"("state":"ready","coldLeftMs":0,"sequence":)" +
                      std::to_string(Number % 90) + R"(,"born":17864)" +
                      std::to_string(Mixed % 100000000) + "}";
  return {"servers/" + Id, Value, StoreRevision(10 + Number)};
}

// Guards against replies to followers that fill the link of the leader, so that
// its callers' requests and answers arrive seconds late.
TEST(StoreCacheRelay, FollowersThatCatchUpLeaveRoomOnTheLink) {
  runInChildProcess([](FiberLoop &Loop) {
    StoreCache Cache;
    Cache.applyListing({}, StoreRevision(5));
    for (size_t I = 0; I < ChangedServers; ++I)
      Cache.applyChange(serverItem(I));
    Cache.advanceTo(serverItem(ChangedServers - 1).Revision);
    SourceHealth Source;
    Source.recordSuccess(Loop.now());
    StoreCacheRelay Relay(Loop, Cache, Source);
    Relay.start();
    PeerFrame Frame;
    Frame.Type = MessageType::StoreCacheRequest;
    Frame.Body =
        packBody(StoreCacheRequest{StoreRevision(6), Seconds(1), true});
    std::vector<std::pair<MonotonicTime, size_t>> Sent;
    MonotonicTime Begin = Loop.now();
    for (size_t I = 0; I < Followers; ++I)
      Relay.handleFrame(Frame, [&](MessageType, const std::string &Body) {
        Sent.emplace_back(Loop.now(), Body.size());
      });
    while (Sent.size() < Followers && Loop.now() < Begin + FollowerPatience)
      FiberLoop::sleepFor(Milliseconds(5));
    EXPECT_EQ(Sent.size(), Followers);
    size_t MostInWindow = 0;
    for (const auto &[From, Unused] : Sent) {
      size_t Bytes = 0;
      for (const auto &[At, Count] : Sent)
        Bytes += At >= From && At < From + Window ? Count : 0;
      MostInWindow = std::max(MostInWindow, Bytes);
    }
    EXPECT_LE(MostInWindow, static_cast<size_t>(RelayShare * inSeconds(Window) *
                                                LinkBytesPerSecond));
  });
}

// Guards against a follower of an earlier era that is not told of a restore,
// since its revision is higher, and against one of an earlier version of the
// program that is sent a full listing at each call.
TEST(StoreCacheRelay, FollowerOfAnEarlierEraGetsAFullListing) {
  runInChildProcess([](FiberLoop &Loop) {
    StoreCache Cache;
    Cache.applyListing({serverItem(1)}, StoreRevision(50), StoreEra(1));
    SourceHealth Source;
    Source.recordSuccess(Loop.now());
    StoreCacheRelay Relay(Loop, Cache, Source);
    std::vector<StoreCacheReply> Replies;
    auto Ask = [&](uint64_t After, uint64_t Era) {
      PeerFrame Frame;
      Frame.Type = MessageType::StoreCacheRequest;
      Frame.Body = packBody(StoreCacheRequest{StoreRevision(After), Seconds(1),
                                              false, StoreEra(Era)});
      Relay.handleFrame(Frame, [&](MessageType, const std::string &Body) {
        Replies.push_back(valueOf(unpackBody<StoreCacheReply>(Body)));
      });
    };
    Ask(50, 1);
    EXPECT_TRUE(Replies.empty());
    Cache.applyListing({serverItem(1)}, StoreRevision(20), StoreEra(2));
    Relay.listingReplaced();
    Ask(50, 1);
    EXPECT_EQ(Replies.size(), 2u);
    for (const StoreCacheReply &Reply : Replies) {
      EXPECT_TRUE(Reply.FullListing);
      EXPECT_EQ(Reply.Era, StoreEra(2));
      EXPECT_EQ(Reply.Revision, StoreRevision(20));
    }
    Ask(20, 0);
    Ask(20, 2);
    EXPECT_EQ(Replies.size(), 2u);
  });
}

} // namespace
} // namespace mimosa
