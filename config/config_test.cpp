#include "config/config.h"
#include "config/messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

const char *Example = R"({
  "revision": 7, "change_id": "operator-a/4f1c",
  "regions": [{"name": "north", "zones": [
    {"name": "z1", "state": "in"}, {"name": "z2", "state": "out"}]}],
  "services": [{"name": "storm", "default_deadline_ms": 160,
    "sub_request_limit_ms": 500, "queue_limit": 20, "weight": 3,
    "backend_servers": [
      {"name": "storm-1", "address": "127.0.0.1:9001", "zone": "z1",
       "slots": 6, "connections": 45, "cold_limit": 2, "state": "draining"},
      {"name": "storm-2", "address": "127.0.0.1:9002", "zone": "z2",
       "slots": 6, "connections": 45}]}]})";

// Guards against a field that is read into the wrong member or lost.
TEST(ParseConfig, ReadsEveryField) {
  auto Parsed = parseConfig(Example);
  ASSERT_TRUE(ok(Parsed)) << errorOf(Parsed).Message;
  const Config &Read = valueOf(Parsed);
  EXPECT_EQ(Read.ConfigRevision, Revision(7));
  EXPECT_EQ(Read.ChangeId, "operator-a/4f1c");
  EXPECT_TRUE(Read.isZoneIn(AvailabilityZoneId("z1")));
  EXPECT_FALSE(Read.isZoneIn(AvailabilityZoneId("z2")));
  EXPECT_FALSE(Read.isZoneIn(AvailabilityZoneId("z3")));
  EXPECT_EQ(Read.regionOfZone(AvailabilityZoneId("z2"))->Name,
            RegionId("north"));
  EXPECT_EQ(Read.regionOfZone(AvailabilityZoneId("z3")), nullptr);
  EXPECT_EQ(Read.service(ServiceId("other")), nullptr);
  const Service *Storm = Read.service(ServiceId("storm"));
  ASSERT_NE(Storm, nullptr);
  EXPECT_EQ(Storm->DefaultDeadline, Milliseconds(160));
  EXPECT_EQ(Storm->SubRequestLimit, Milliseconds(500));
  EXPECT_EQ(Storm->QueueLimit, 20u);
  EXPECT_EQ(Storm->Weight, 3u);
  const BackendServer &First = Storm->BackendServers.at(0);
  EXPECT_EQ(First.Address, "127.0.0.1:9001");
  EXPECT_EQ(First.Slots, 6u);
  EXPECT_EQ(First.Connections, 45u);
  EXPECT_EQ(First.ColdLimit, 2u);
  EXPECT_EQ(First.State, BackendAdminState::Draining);
  EXPECT_EQ(Storm->BackendServers.at(1).ColdLimit, 1u);
  EXPECT_EQ(Storm->BackendServers.at(1).State, BackendAdminState::In);
}

struct ErrorCase {
  const char *Pointer; // JSON pointer of the field to set
  const char *Value;
  const char *MessageStart;
};

// Guards against a bad document that is accepted, or rejected without the path
// of the bad field.
TEST(ParseConfig, ErrorsNameTheField) {
  const ErrorCase Cases[] = {
      {"/revision", "-1", "document.revision must"},
      {"/change_id", "\"\"", "document.change_id must"},
      {"/extra", "1", "document.extra is not a known field"},
      {"/regions", "{}", "document.regions must"},
      {"/regions/0", "3", "regions[0] must"},
      {"/regions/0/name", "\"North\"", "regions[0].name must"},
      {"/regions/0/zones/1/name", "\"z1\"", "regions[0].zones[1].name \"z1\""},
      {"/regions/0/zones/1/state", "\"off\"", "regions[0].zones[1].state must"},
      {"/services/0/wieght", "2", "services[0].wieght is not"},
      {"/services/0/weight", "101", "services[0].weight must"},
      {"/services/0/queue_limit", "0", "services[0].queue_limit must"},
      {"/services/0/default_deadline_ms", "10001",
       "services[0].default_deadline_ms must"},
      {"/services/0/sub_request_limit_ms", "9",
       "services[0].sub_request_limit_ms must"},
      {"/services/0/backend_servers/1/name", "\"storm-1\"",
       "services[0].backend_servers[1].name \"storm-1\""},
      {"/services/0/backend_servers/1/address", "\"127.0.0.1:9001\"",
       "services[0].backend_servers[1].address \"127.0.0.1:9001\""},
      {"/services/0/backend_servers/1/address", "\"localhost:9002\"",
       "services[0].backend_servers[1].address must"},
      {"/services/0/backend_servers/1/address", "\"127.0.0.1:09002\"",
       "services[0].backend_servers[1].address must"},
      {"/services/0/backend_servers/1/address", "\"127.0.0.1:\"",
       "services[0].backend_servers[1].address must"},
      {"/services/0/backend_servers/1/zone", "\"z9\"",
       "services[0].backend_servers[1].zone \"z9\""},
      {"/services/0/backend_servers/0/slots", "1",
       "services[0].backend_servers[0].cold_limit must"},
      {"/services/0/backend_servers/0/state", "\"out\"",
       "services[0].backend_servers[0].state must"},
  };
  for (const ErrorCase &Case : Cases) {
    Json Document = Json::parse(Example);
    Document[Json::json_pointer(Case.Pointer)] = Json::parse(Case.Value);
    auto Parsed = parseConfig(Document.dump());
    ASSERT_FALSE(ok(Parsed)) << Case.Pointer;
    EXPECT_EQ(errorOf(Parsed).Code, ResultCode::InvalidConfig);
    EXPECT_EQ(errorOf(Parsed).Message.rfind(Case.MessageStart, 0), 0u)
        << errorOf(Parsed).Message;
  }
}

// A consistent document with two regions and one service per element of
// \p Sizes, which sets the limits of the service and its number of servers.
Config generateConfig(const std::vector<uint8_t> &Sizes) {
  Config Document;
  Document.ConfigRevision = Revision(3);
  Document.ChangeId = "c \"1\"";
  for (const char *Name : {"a", "b"})
    Document.Regions.push_back(
        {RegionId(Name),
         {{AvailabilityZoneId(std::string(Name) + "1"), ZoneState::Out}}});
  int Port = 1;
  for (uint8_t Size : Sizes) {
    Service Next;
    Next.Name = ServiceId("s" + std::to_string(Document.Services.size()));
    Next.Weight = 1 + Size % 100;
    Next.QueueLimit = 1 + Size;
    for (int I = 0; I < Size % 5; ++I, ++Port)
      Next.BackendServers.push_back(
          {BackendServerId("x" + std::to_string(Port)),
           "[::1]:" + std::to_string(Port), AvailabilityZoneId("b1"), 1u + Size,
           3, 1, I % 2 ? BackendAdminState::In : BackendAdminState::Draining});
    Document.Services.push_back(std::move(Next));
  }
  return Document;
}

// Guards against a field that is lost when the document passes through the
// store or a peer.
RC_GTEST_PROP(PrintConfig, RoundTrips, (const std::vector<uint8_t> &Sizes)) {
  Config Document = generateConfig(Sizes);
  std::string Text = printConfig(Document);
  auto Frame = unpackBody<ConfigDocument>(
      packBody(ConfigDocument{HostId("h"), Document.ConfigRevision, Text}));
  RC_ASSERT(ok(Frame));
  auto Parsed = parseConfig(valueOf(Frame).Document);
  RC_ASSERT(ok(Parsed));
  RC_ASSERT(printConfig(valueOf(Parsed)) == Text);
  RC_ASSERT(differences(Document, valueOf(Parsed)).empty());
}

// Guards against a change that is missing in the list shown to operators.
TEST(Differences, NameTheItemAndBothValues) {
  Config Old = valueOf(parseConfig(Example));
  Config New = Old;
  New.ConfigRevision = Revision(8);
  New.Regions[0].Zones[0].State = ZoneState::Out;
  New.Services[0].QueueLimit = 30;
  New.Services[0].BackendServers[0].State = BackendAdminState::In;
  New.Services[0].BackendServers[1].Name = BackendServerId("storm-3");
  const std::vector<std::string> Expected = {
      "backend server storm-2: removed",
      "availability zone z1: state in -> out",
      "backend server storm-1: state draining -> in",
      "backend server storm-3: added",
      "service storm: queue_limit 20 -> 30",
  };
  EXPECT_EQ(differences(Old, New), Expected);
}

} // namespace
} // namespace mimosa
