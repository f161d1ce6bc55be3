/** Descriptions of calls and of their attempts, for decisions and logs. */
import {createHash} from 'node:crypto';
import type {AttemptEnd} from '@sassafrasspan/core';
import type {AttemptOutcome, MatchedCall} from './call_types';

/** Length of a fingerprint, in hexadecimal digits. */
const FINGERPRINT_DIGITS = 32;

/** The parts of a request that are the same whenever it comes again. */
export type RepeatedRequest = Pick<
  MatchedCall['call'],
  'customer' | 'method' | 'host' | 'target' | 'body'
>;

/** Returns the same fingerprint for calls with the same request. */
export function computeFingerprint(request: RepeatedRequest): string {
  const {customer = '', method, host, target, body} = request;
  return createHash('sha256')
    .update(`${customer} ${method} ${host}${target}\n`)
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}

/** Returns how an attempt ended, for the decision on what follows. */
export function describeEnd(reply: AttemptOutcome): AttemptEnd {
  switch (reply.type) {
    case 'answered':
      return {type: 'answered', status: reply.answer.status};
    case 'not-run':
      return {
        type: 'not-run',
        isFull: reply.reason === 'full' || reply.reason === 'held-back',
      };
    default:
      return {type: 'lost', hadBytes: reply.hadBytes};
  }
}

/** Returns the reason of an attempt's end, for logs. */
export function describeReason(reply: AttemptOutcome): string {
  if (reply.type === 'answered') return `status ${reply.answer.status}`;
  return reply.type === 'not-run' ? reply.reason : reply.detail;
}
