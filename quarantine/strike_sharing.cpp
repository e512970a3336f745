#include "quarantine/strike_sharing.h"

#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Other hosts answer within some milliseconds; a busy one later.
constexpr Duration QueryTimeout = Milliseconds(500);
} // namespace

StrikeSharing::StrikeSharing(FiberLoop &Loop, PeerClient &Peers,
                             const HostId &Self, StrikeLog &Strikes,
                             Random &Rng, MetricsRegistry &Metrics)
    : Loop(Loop), Peers(Peers), Self(Self), Strikes(Strikes),
      Exchange(Self, Strikes, Rng) {
  Metrics.gauge("mimosa_strikes_adopted_total", {},
                [this] { return static_cast<double>(AdoptedStrikes); });
  Metrics.gauge("mimosa_quarantined_requests", {}, [this] {
    return static_cast<double>(
        this->Strikes.strikeStore().quarantinedCount(this->Loop.now()));
  });
}

void StrikeSharing::start(const std::vector<HostId> &Seeds) {
  std::vector<HostId> OtherSeeds = Seeds;
  OtherSeeds.erase(std::remove(OtherSeeds.begin(), OtherSeeds.end(), Self),
                   OtherSeeds.end());
  if (!Listed)
    Exchange.setHosts(std::move(OtherSeeds));
  sendQueries();
  QueryTimer =
      Loop.every(StrikeExchange::QueryInterval, [this] { sendQueries(); });
}

void StrikeSharing::setHosts(std::vector<HostId> NewOthers) {
  Others = std::move(NewOthers);
  Exchange.setHosts(Others);
  if (Listed)
    return;
  Listed = true;
  // Callers are served from now on.
  sendQueries();
}

void StrikeSharing::broadcast(const StrikeNotice &Notice) {
  std::string Body = packBody(Notice);
  for (const HostId &Host : Others)
    Peers.send(Host, MessageType::StrikeNotice, Body);
}

void StrikeSharing::broadcast(const StrikeWithdrawal &Withdrawal) {
  std::string Body = packBody(Withdrawal);
  for (const HostId &Host : Others)
    Peers.send(Host, MessageType::StrikeWithdrawal, Body);
}

bool StrikeSharing::handleFrame(const PeerFrame &Frame,
                                const PeerReplier &Reply) {
  if (Frame.Type == MessageType::StrikeNotice)
    receiveStrike(Frame);
  else if (Frame.Type == MessageType::StrikeWithdrawal)
    receiveWithdrawal(Frame);
  else if (Frame.Type == MessageType::StrikeQuery)
    answerQuery(Frame, Reply);
  else
    return false;
  return true;
}

void StrikeSharing::receiveStrike(const PeerFrame &Frame) {
  Result<StrikeNotice> Notice = unpackBody<StrikeNotice>(Frame.Body);
  if (ok(Notice))
    Strikes.strikeReceived(valueOf(Notice), Loop.now());
  else
    logWarn("strikes",
            "event=bad_strike reason=\"" + errorOf(Notice).Message + "\"");
}

void StrikeSharing::receiveWithdrawal(const PeerFrame &Frame) {
  Result<StrikeWithdrawal> Withdrawal =
      unpackBody<StrikeWithdrawal>(Frame.Body);
  if (ok(Withdrawal))
    Strikes.withdrawalReceived(valueOf(Withdrawal), Loop.now());
  else
    logWarn("strikes", "event=bad_strike_withdrawal reason=\"" +
                           errorOf(Withdrawal).Message + "\"");
}

void StrikeSharing::answerQuery(const PeerFrame &Frame,
                                const PeerReplier &Reply) {
  Result<StrikeQuery> Query = unpackBody<StrikeQuery>(Frame.Body);
  if (!ok(Query))
    return logWarn("strikes", "event=bad_strike_query reason=\"" +
                                  errorOf(Query).Message + "\"");
  Reply(MessageType::StrikeReport,
        packBody(Exchange.answer(valueOf(Query), Loop.now())));
}

void StrikeSharing::sendQueries() {
  for (const AddressedStrikeQuery &Each : Exchange.takeQueries(Loop.now()))
    Peers.request(Each.To, MessageType::StrikeQuery, packBody(Each.Query),
                  QueryTimeout,
                  [this, To = Each.To](const Result<PeerFrame> &Reply) {
                    receiveReport(To, Reply);
                  });
}

void StrikeSharing::receiveReport(const HostId &From,
                                  const Result<PeerFrame> &Reply) {
  // A host that does not answer is asked again, and others are, too.
  if (!ok(Reply))
    return;
  Result<StrikeReport> Report = unpackBody<StrikeReport>(valueOf(Reply).Body);
  if (!ok(Report))
    return logWarn("strikes", "event=bad_strike_report from=" + From.text() +
                                  " reason=\"" + errorOf(Report).Message +
                                  "\"");
  size_t Adopted = Exchange.apply(valueOf(Report), Loop.now());
  AdoptedStrikes += Adopted;
  if (Adopted > 0)
    logInfo("strikes", "event=strikes_adopted from=" + From.text() +
                           " count=" + std::to_string(Adopted));
}

} // namespace mimosa
