/**
 * Fingerprints of callers' work: equal for equal requests of one customer,
 * whoever sends them and through whichever entry.
 */
import {createHash} from 'node:crypto';
import type {Work} from '@sassafrasspan/core';

const DIGEST_LENGTH = 22;

/** Returns the fingerprint of a customer's work. */
export function computeFingerprint(customer: string, work: Work): string {
  const hash = createHash('sha256');
  if (work.type === 'completion') hash.update(work.bodyJson);
  else hash.update(`${work.method} ${work.path}\n`).update(work.body);
  const digest = hash.digest('base64url').slice(0, DIGEST_LENGTH);
  return `${customer}-${digest}`;
}
