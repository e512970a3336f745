// Settings from flags, environment variables and a file: a flag --some-name, a
// variable MIMOSA_SOME_NAME or a line "some-name=value" of the file. Flags take
// precedence over variables, and variables over the file.
//
//   Settings Parser("mimosad", "entry daemon of mimosawall");
//   Parser.text("listen", "address for callers, ip:port", &Options.Listen);
//   Parser.number("drain-ms", "...", &Options.DrainMs, 0, 600000);
//   if (auto Exit = Parser.parse(Argc, Argv))
//     return *Exit;

#ifndef MIMOSA_RUNTIME_SETTINGS_H
#define MIMOSA_RUNTIME_SETTINGS_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosa {

/// Splits a comma-separated list; empty items are left out.
std::vector<std::string> splitList(const std::string &List);

class Settings {
public:
  /// \p Purpose and \p Arguments are printed by --help. \p Arguments describes
  /// the arguments after the flags, such as "COMMAND [FILE]"; if it is empty,
  /// there must be none.
  Settings(std::string Program, std::string Purpose,
           std::string Arguments = "");
  ~Settings();

  /// Registers a text setting. As for all settings, *\p Value is the default
  /// before parse() and the result after it. A required text must not be empty.
  void text(const char *Name, const char *Help, std::string *Value,
            bool Required = false);
  /// Registers a whole number in [\p Min, \p Max].
  void number(const char *Name, const char *Help, int64_t *Value, int64_t Min,
              int64_t Max);
  /// Registers a flag without a value; its variable is "1" or "0".
  void toggle(const char *Name, const char *Help, bool *Value);

  /// Registers a decimal number in [\p Min, \p Max].
  void decimal(const char *Name, const char *Help, double *Value, double Min,
               double Max);
  /// Registers "settings-file", the path of the file that parse() reads.
  void fileSetting(std::string *Path);
  /// Assigns the "name=value" lines of a file. Lines without a value and
  /// unknown names are skipped. Returns the first problem, or "".
  std::string readFile(const std::string &Path);
  /// Returns all problems of a settings file or of a template for one: unknown
  /// names and invalid values. Of an empty value, and of one that contains "{{"
  /// and is filled in later, only the name of the setting is checked. The valid
  /// values are assigned.
  std::vector<std::string> validateFile(const std::string &Path);

  /// Reads the settings file, if one is set, then variables, then flags.
  /// Returns an exit status if the program should end: 0 after --help or
  /// --version, 2 after an error, which is printed.
  std::optional<int> parse(int Argc, const char *const *Argv);

  /// The arguments after the flags.
  const std::vector<std::string> &arguments() const { return Positional; }

private:
  struct Setting;
  Setting *find(const std::string &Name);
  /// Parses and stores \p Value. Returns a problem that names \p Source, or "".
  std::string assign(Setting &S, const std::string &Value,
                     const std::string &Source);
  std::string readVariables();
  std::string readFlags(int Argc, const char *const *Argv, bool *ShowVersion);
  std::string checkRequired() const;

  std::string Program;
  std::string Purpose;
  std::string Arguments;
  std::vector<std::unique_ptr<Setting>> Registered;
  std::vector<std::string> Positional;
  std::string *FilePath = nullptr;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_SETTINGS_H
