// Strong types for identifiers and numbers that must not be mixed up.
//
// Text ids wrap a std::string, number ids wrap an unsigned integer. Both can be
// compared and hashed; neither converts implicitly to another type:
//
//   ServiceId Service{"storm"};
//   ShardId Shard{7};
//   std::string Line = "service=" + Service.text();

#ifndef MIMOSA_BASE_IDS_H
#define MIMOSA_BASE_IDS_H

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mimosa {

/// A text identifier; each \p Tag makes a distinct type.
template <typename Tag> class TextId {
public:
  TextId() = default;
  explicit TextId(std::string Text) : Value(std::move(Text)) {}

  const std::string &text() const { return Value; }
  bool empty() const { return Value.empty(); }

  friend bool operator==(const TextId &A, const TextId &B) {
    return A.Value == B.Value;
  }
  friend bool operator!=(const TextId &A, const TextId &B) { return !(A == B); }
  friend bool operator<(const TextId &A, const TextId &B) {
    return A.Value < B.Value;
  }

private:
  std::string Value;
};

/// A numeric identifier or counter; each \p Tag makes a distinct type.
template <typename Tag, typename Number> class NumberId {
public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(Number N) : Value(N) {}

  constexpr Number number() const { return Value; }
  constexpr NumberId next() const { return NumberId(Value + 1); }

  friend constexpr bool operator==(NumberId A, NumberId B) {
    return A.Value == B.Value;
  }
  friend constexpr bool operator!=(NumberId A, NumberId B) { return !(A == B); }
  friend constexpr bool operator<(NumberId A, NumberId B) {
    return A.Value < B.Value;
  }
  friend constexpr bool operator>(NumberId A, NumberId B) { return B < A; }
  friend constexpr bool operator<=(NumberId A, NumberId B) { return !(B < A); }
  friend constexpr bool operator>=(NumberId A, NumberId B) { return !(A < B); }

private:
  Number Value = 0;
};

/// A host, identified by its peer address "ip:port".
using HostId = TextId<struct HostIdTag>;
using ServiceId = TextId<struct ServiceIdTag>;
using CallerId = TextId<struct CallerIdTag>;
/// A team of callers, by its name in the configuration.
using TeamId = TextId<struct TeamIdTag>;
using RegionId = TextId<struct RegionIdTag>;
using AvailabilityZoneId = TextId<struct AvailabilityZoneIdTag>;
/// A backend server, by its name in the configuration.
using BackendServerId = TextId<struct BackendServerIdTag>;
/// The version of the program that a backend server runs.
using VersionId = TextId<struct VersionIdTag>;
/// One version of the search index.
using SnapshotId = TextId<struct SnapshotIdTag>;
/// The caller's idempotency key of a non-idempotent request.
using RequestKey = TextId<struct RequestKeyTag>;

using ShardId = NumberId<struct ShardIdTag, uint32_t>;
/// Revision of the configuration; strictly increasing.
using Revision = NumberId<struct RevisionTag, uint64_t>;
/// Identifies one run of a process; a restart gets a higher number.
using Incarnation = NumberId<struct IncarnationTag, uint64_t>;
/// Unique within one incarnation of a host.
using RequestId = NumberId<struct RequestIdTag, uint64_t>;

} // namespace mimosa

namespace std {
template <typename Tag> struct hash<mimosa::TextId<Tag>> {
  size_t operator()(const mimosa::TextId<Tag> &Id) const {
    return hash<string>()(Id.text());
  }
};
template <typename Tag, typename Number>
struct hash<mimosa::NumberId<Tag, Number>> {
  size_t operator()(mimosa::NumberId<Tag, Number> Id) const {
    return hash<Number>()(Id.number());
  }
};
} // namespace std

#endif // MIMOSA_BASE_IDS_H
