/** The limit on open descriptors that is in force for this process. */
import {readFileSync} from 'node:fs';

const LIMITS_FILE = '/proc/self/limits';
const SOFT_LIMIT = /^Max open files\s+(\d+)/m;

/** Returns the limit in force; Infinity if it is not known. */
export function readDescriptorLimit(): number {
  try {
    const limit = SOFT_LIMIT.exec(readFileSync(LIMITS_FILE, 'utf8'))?.[1];
    return Number(limit ?? Infinity);
  } catch {
    return Infinity;
  }
}
