/**
 * Forwards streams, which callers may take up again at any entry. Before a stream
 * is passed on, the nodes that keep its origin are told; one that is taken up is
 * sent only to endpoints where it may go on.
 */
import {
  ServiceError,
  StreamNames,
  StreamOrigin,
  createError,
} from '@sassafrasspan/core';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import {err} from 'neverthrow';
import {computeFingerprint} from './attempt_descriptions';
import type {CallForwarder, CallResult} from './call_forwarder';
import type {MatchedCall} from './call_types';
import {
  StreamOriginExchange,
  StreamOriginExchangeOptions,
} from './stream_origin_exchange';

/** Lowest status of an answer that is no stream. */
const MIN_ERROR_STATUS = 300;

export interface StreamForwarderOptions extends StreamOriginExchangeOptions {
  readonly forwarder: CallForwarder;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

export class StreamForwarder {
  private readonly origins: StreamOriginExchange;

  private constructor(private readonly options: StreamForwarderOptions) {
    this.origins = StreamOriginExchange.create(options);
  }

  static create(options: StreamForwarderOptions): StreamForwarder {
    return new StreamForwarder(options);
  }

  /** Forwards a call whose answer is a stream. */
  async forward(matched: MatchedCall): Promise<CallResult> {
    const {call} = matched;
    const {forwarder} = this.options;
    const fingerprint = computeFingerprint(call);
    if (call.resumes !== undefined || call.isTakeUp) {
      const names = {callId: call.resumes, fingerprint};
      const origin = await this.origins.find(names);
      return origin === undefined
        ? err(this.refuse(matched, names))
        : forwarder.forward(matched, origin);
    }
    let origin: StreamOrigin | undefined;
    const result = await forwarder.forward({
      ...matched,
      call: {
        ...call,
        onAnswered: (status, {service, software}) => {
          origin = {service, software};
          call.onAnswered?.(status, {service, software});
        },
      },
    });
    const isBegun = result.isOk() && result.value.status < MIN_ERROR_STATUS;
    if (isBegun && origin !== undefined) {
      await this.origins.record({callId: call.id, fingerprint}, origin);
    }
    return result;
  }

  private refuse(
    {call, route}: MatchedCall,
    {callId, fingerprint}: StreamNames,
  ): ServiceError {
    const {log, metrics} = this.options;
    const detail =
      callId === undefined
        ? `no node knows where streams of request ${fingerprint} began`
        : `no node knows where ${callId} began`;
    const error = createError('stream-unknown', detail);
    const {kind} = error;
    metrics.addCount('requests_refused_total', {kind});
    const fields = {requestId: call.id, route: route.name, kind, detail};
    log.writeEvent('request-refused', fields);
    return error;
  }
}
