/** Runs commands of the bundled program, as an operator does. */
import {execFile} from 'node:child_process';
import path from 'node:path';
import {findDistFolder} from './child_process';

/** Exit code and output of a command. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs `sassafrasspan` with arguments until it exits. */
export function runCommand(...args: readonly string[]): Promise<CommandResult> {
  const bundle = path.join(findDistFolder(), 'sassafrasspan.cjs');
  return new Promise(resolve => {
    const finish = (error: Error | null, stdout: string, stderr: string) => {
      const code = error === null ? 0 : Number('code' in error && error.code);
      resolve({code, stdout, stderr});
    };
    execFile(process.execPath, [bundle, ...args], {encoding: 'utf8'}, finish);
  });
}
