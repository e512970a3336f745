// Drives Membership with timer ticks and frames from peers, sends its messages
// and reports its events to MembershipEvents.
//
//   MembershipDriver Members(Context, Events);
//   Members.start(Seeds);
//   Members.handleFrame(Frame);        // types 1 to 6

#ifndef MIMOSA_DAEMON_MEMBERSHIP_DRIVER_H
#define MIMOSA_DAEMON_MEMBERSHIP_DRIVER_H

#include "daemon/node_context.h"
#include "membership/membership.h"

namespace mimosa {

/// Handlers of membership events, called in the event loop. They must not
/// suspend.
class MembershipEvents {
public:
  virtual ~MembershipEvents() = default;
  virtual void onMemberChanged(const MemberChanged &Change) = 0;
  virtual void onPauseDetected(Duration Gap) = 0;
  virtual void onRevisionAnnounced(const HostId &Peer, Revision Announced) = 0;
};

class MembershipDriver {
public:
  MembershipDriver(NodeContext &Context, MembershipEvents &Events);

  void start(std::vector<HostId> Seeds);
  /// Replaces the seeds, for example by a newer list of the platform.
  void setSeeds(std::vector<HostId> Seeds);
  /// Handles the frames of membership; false for any other type.
  bool handleFrame(const PeerFrame &Frame);
  void onHostUnreachable(const HostId &Host);
  void leave();

  Membership &members() { return Protocol; }

private:
  template <typename T> bool handleMessage(const PeerFrame &Frame);
  void perform(const MembershipActions &Actions);
  void send(const SendMessage &Action);

  NodeContext &Context;
  MembershipEvents &Events;
  Membership Protocol;
  ScopedTimer Ticks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_MEMBERSHIP_DRIVER_H
