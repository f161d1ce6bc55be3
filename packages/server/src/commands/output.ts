/** Output and exit codes of the commands. */
import {SettingsFault, formatSettingsFault} from '@sassafrasspan/runtime';

/** Exit code when the system refused or did not answer. */
export const EXIT_FAILED = 1;
/** Exit code for faults in files or arguments. */
export const EXIT_USAGE = 2;

/** Writes a line to standard output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Writes a line to standard error and sets the exit code. */
export function printFailure(text: string, exitCode: number): void {
  process.stderr.write(`${text}\n`);
  process.exitCode = exitCode;
}

/** Prints faults of files and sets the exit code. */
export function printFaults(faults: readonly SettingsFault[]): void {
  for (const fault of faults) {
    printFailure(formatSettingsFault(fault), EXIT_USAGE);
  }
}
