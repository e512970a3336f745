#include "claim/claim_record.h"

#include "base/json_fields.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace mimosa {

namespace {

constexpr size_t HexDigits = 32;
constexpr size_t SequenceDigits = 20;

std::string printDigest(const Digest &D) {
  std::array<char, HexDigits + 1> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(D.High),
                static_cast<unsigned long long>(D.Low));
  return std::string(Text.data(), HexDigits);
}

bool parseHalf(const char *First, uint64_t &Number) {
  const char *Last = First + HexDigits / 2;
  auto [End, Failure] = std::from_chars(First, Last, Number, 16);
  return Failure == std::errc() && End == Last;
}

bool parseDigest(const Json &Value, Digest &D) {
  if (!Value.is_string())
    return false;
  const auto &Text = Value.get_ref<const std::string &>();
  if (Text.size() != HexDigits)
    return false;
  return parseHalf(Text.data(), D.High) &&
         parseHalf(Text.data() + HexDigits / 2, D.Low);
}

bool parsePair(const Json &Value, size_t Size, ClaimPair &Pair) {
  return Value.is_array() && Value.size() == Size &&
         parseDigest(Value[0], Pair.Key) && parseDigest(Value[1], Pair.Nonce);
}

Json printPairs(const std::vector<ClaimPair> &Pairs) {
  Json Printed = Json::array();
  for (const ClaimPair &Pair : Pairs)
    Printed.push_back({printDigest(Pair.Key), printDigest(Pair.Nonce)});
  return Printed;
}

void failElement(JsonFields &Fields, const char *Name, size_t Index) {
  Fields.fail(ResultCode::BadField, Fields.path() + "." + Name + "[" +
                                        std::to_string(Index) +
                                        "] is not a valid claim entry");
}

std::vector<ClaimPair> parsePairs(JsonFields &Fields, const char *Name) {
  std::vector<ClaimPair> Pairs;
  for (const Json &Value : Fields.array(Name)) {
    ClaimPair Pair;
    if (!parsePair(Value, 2, Pair))
      failElement(Fields, Name, Pairs.size());
    Pairs.push_back(Pair);
  }
  return Pairs;
}

std::vector<OutcomeEntry> parseOutcomes(JsonFields &Fields) {
  std::vector<OutcomeEntry> Outcomes;
  for (const Json &Value : Fields.array("outcomes")) {
    OutcomeEntry Entry;
    if (parsePair(Value, 3, Entry.Claim) && Value[2].is_number_integer())
      Entry.Code = Value[2].get<int>();
    else
      failElement(Fields, "outcomes", Outcomes.size());
    Outcomes.push_back(Entry);
  }
  return Outcomes;
}

constexpr size_t FieldCount = 7;

} // namespace

Digest digestOf(std::string_view Text) {
  XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return {Hash.high64, Hash.low64};
}

Digest digestOf(const ClaimNonce &Nonce) {
  return digestOf(Nonce.Root.text() + " " +
                  std::to_string(Nonce.RootIncarnation.number()) + " " +
                  std::to_string(Nonce.Counter.number()));
}

std::string printClaimRecord(const ClaimRecord &Record) {
  Json Outcomes = Json::array();
  for (const OutcomeEntry &Entry : Record.Outcomes)
    Outcomes.push_back({printDigest(Entry.Claim.Key),
                        printDigest(Entry.Claim.Nonce), Entry.Code});
  Json Printed = {{"owner", Record.Owner.text()},
                  {"incarnation", Record.OwnerIncarnation.number()},
                  {"batch", Record.Batch},
                  {"time_ms", Record.TimeMs},
                  {"outcomes", std::move(Outcomes)},
                  {"released", printPairs(Record.Released)},
                  {"claimed", printPairs(Record.Claimed)}};
  return Printed.dump();
}

Result<ClaimRecord> parseClaimRecord(std::string_view Text) {
  Result<Json> Parsed = parseJson(Text);
  if (!ok(Parsed))
    return errorOf(Parsed);
  JsonFields Fields(valueOf(Parsed), "claim record");
  ClaimRecord Record;
  Record.Owner = HostId(Fields.text("owner"));
  Record.OwnerIncarnation = Incarnation(
      static_cast<uint64_t>(Fields.number("incarnation", 0, INT64_MAX)));
  Record.Batch = static_cast<uint64_t>(Fields.number("batch", 0, INT64_MAX));
  Record.TimeMs = Fields.number("time_ms", 0, INT64_MAX);
  Record.Outcomes = parseOutcomes(Fields);
  Record.Released = parsePairs(Fields, "released");
  Record.Claimed = parsePairs(Fields, "claimed");
  if (!Fields.failed() && valueOf(Parsed).size() != FieldCount)
    Fields.fail(ResultCode::BadField, "claim record has an unknown field");
  if (Fields.failed())
    return Fields.error();
  return Record;
}

std::string claimPrefix(const ServiceId &Service) {
  return "claims/" + Service.text() + "/";
}

std::string claimRecordKey(const ServiceId &Service, uint64_t Sequence) {
  std::string Digits = std::to_string(Sequence);
  return claimPrefix(Service) +
         std::string(SequenceDigits - Digits.size(), '0') + Digits;
}

std::optional<uint64_t> claimSequence(const ServiceId &Service,
                                      const std::string &Key) {
  std::string Prefix = claimPrefix(Service);
  if (Key.size() != Prefix.size() + SequenceDigits ||
      Key.compare(0, Prefix.size(), Prefix) != 0)
    return std::nullopt;
  uint64_t Sequence = 0;
  const char *Last = Key.data() + Key.size();
  auto [End, Failure] =
      std::from_chars(Key.data() + Prefix.size(), Last, Sequence);
  if (Failure != std::errc() || End != Last)
    return std::nullopt;
  return Sequence;
}

} // namespace mimosa
