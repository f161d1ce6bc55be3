/** Runs commands of the built bundle as an operator does. */
import {execFile} from 'node:child_process';
import path from 'node:path';
import {findDistFolder} from './child_process';

/** What a command printed, and its exit code. */
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
