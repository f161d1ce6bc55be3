/**
 * Fingerprints of callers' work. Identical requests of one customer have the
 * same fingerprint at every entry.
 */
import {createHash} from 'node:crypto';
import type {Work} from '@sassafrasspan/core';

/** Length of the truncated base64url digest. */
const DIGEST_LENGTH = 22;

/** Returns the fingerprint: the customer's name and a truncated digest. */
export function computeFingerprint(customer: string, work: Work): string {
  const hash = createHash('sha256');
  if (work.type === 'completion') hash.update(work.bodyJson);
  else hash.update(`${work.method} ${work.path}\n`).update(work.body);
  const digest = hash.digest('base64url').slice(0, DIGEST_LENGTH);
  return `${customer}-${digest}`;
}
