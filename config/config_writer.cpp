#include "config/config_writer.h"

namespace mimosa {

namespace {

ConfigChangeResult finish(ResultCode Code, std::string Message) {
  return {Code, std::move(Message), std::nullopt};
}

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

std::string describe(const Config &Document) {
  return "revision " + std::to_string(Document.ConfigRevision.number()) +
         " by change " + quoted(Document.ChangeId);
}

} // namespace

ConfigWriter::ConfigWriter(ConfigChange Change, ConfigWriterOptions Options)
    : Change(std::move(Change)), Options(Options) {}

WriteStep ConfigWriter::start() {
  if (Change.ChangeId.empty())
    return finish(ResultCode::MissingField, "change_id is missing or empty");
  Change.Document.ChangeId = Change.ChangeId;
  Change.Document.ConfigRevision = Change.ExpectedRevision.next();
  Value = printConfig(Change.Document);
  // Whatever is stored must be readable by every host.
  Result<Config> Readable = parseConfig(Value);
  if (!ok(Readable))
    return finish(errorOf(Readable).Code, errorOf(Readable).Message);
  return ReadStoredConfig{};
}

WriteStep ConfigWriter::onRead(const std::optional<StoredConfig> &Stored) {
  return decide(Stored);
}

WriteStep
ConfigWriter::onVersionConflict(const std::optional<StoredConfig> &Stored) {
  return decide(Stored);
}

WriteStep ConfigWriter::decide(const std::optional<StoredConfig> &Stored) {
  Config Current;
  if (Stored) {
    Result<Config> Parsed = parseConfig(Stored->Value);
    if (!ok(Parsed))
      return finish(
          Unsettled ? ResultCode::OutcomeUnknown : ResultCode::Internal,
          "the stored document cannot be read: " + errorOf(Parsed).Message);
    Current = std::move(valueOf(Parsed));
  }
  if (Current.ChangeId == Change.ChangeId)
    return ConfigChangeResult{ResultCode::Ok, "", std::move(Current)};
  if (Current.ConfigRevision != Change.ExpectedRevision)
    return judgeOther(std::move(Current));
  return write(Stored ? Stored->Version : 0);
}

/// The outcome when another change's document is stored.
WriteStep ConfigWriter::judgeOther(Config Current) const {
  // Two or more revisions later, a write without a reply may have been in force
  // and then been replaced.
  Revision Own = Change.ExpectedRevision.next();
  bool MayHaveBeenReplaced = Unsettled && Current.ConfigRevision > Own;
  std::string Message = "the stored document is " + describe(Current) +
                        ", not revision " +
                        std::to_string(Change.ExpectedRevision.number());
  if (MayHaveBeenReplaced)
    Message += "; the change may have been in force before it";
  ResultCode Code =
      MayHaveBeenReplaced ? ResultCode::OutcomeUnknown : ResultCode::Conflict;
  return ConfigChangeResult{Code, std::move(Message), std::move(Current)};
}

WriteStep ConfigWriter::write(uint64_t Version) {
  if (Writes >= Options.MaxWrites)
    return finishUnavailable();
  ++Writes;
  return CompareAndSwapConfig{Value, Version};
}

WriteStep ConfigWriter::onReadFailed() {
  ++FailedReads;
  if (!Unsettled || FailedReads >= Options.MaxSettleReads)
    return finishUnavailable();
  return ReadStoredConfig{Options.SettleDelay};
}

WriteStep ConfigWriter::onWritten() {
  return ConfigChangeResult{ResultCode::Ok, "", Change.Document};
}

WriteStep ConfigWriter::onWriteFailed() { return finishUnavailable(); }

WriteStep ConfigWriter::onWriteReplyLost() {
  Unsettled = true;
  return ReadStoredConfig{};
}

WriteStep ConfigWriter::finishUnavailable() const {
  if (Unsettled)
    return finish(ResultCode::OutcomeUnknown,
                  "the key-value service did not confirm change " +
                      quoted(Change.ChangeId) +
                      "; read the configuration to see whether it is in force");
  return finish(ResultCode::StoreUnavailable,
                "the key-value service is unavailable; change " +
                    quoted(Change.ChangeId) + " did not take effect");
}

} // namespace mimosa
