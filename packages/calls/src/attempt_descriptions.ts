/** Descriptions of calls and of their attempts, for decisions and logs. */
import {AttemptEnd, hashText} from '@sassafrasspan/core';
import type {AttemptOutcome, MatchedCall} from './call_types';

/** Returns the same fingerprint for calls with the same request. */
export function computeFingerprint(call: MatchedCall['call']): string {
  const {customer = '', method, host, target, body} = call;
  const text = `${customer} ${method} ${host}${target} ${body.toString('latin1')}`;
  return `${hashText(text).toString(16)}-${body.length}`;
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
