/**
 * Serves callers at an entry: authenticates API keys, checks requests against
 * the rules and limits, and dispatches them.
 */
import {
  AnswerSink,
  CallerBackend,
  CallerRequest,
  DispatchHandle,
  observeEnd,
} from '@sassafrasspan/callers';
import {
  Clock,
  CustomerDemand,
  CustomerLimiter,
  RuleSet,
  RulesHolder,
  ServiceError,
  createError,
  hashText,
} from '@sassafrasspan/core';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import type {DispatchRequest, Dispatcher} from './dispatcher';
import {computeFingerprint} from './fingerprint';

/** Characters of a prompt that determine its prefix key. */
const PREFIX_KEY_CHARS = 256;

export interface EntryCallersOptions {
  readonly dispatcher: Dispatcher;
  readonly rules: RulesHolder;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly defaultBudgetMs: number;
  readonly clock: Clock;
  readonly limiter: CustomerLimiter;
  /** Returns the demand at each other entry, undefined for silent ones. */
  listPeerDemand(): (readonly CustomerDemand[] | undefined)[];
}

/** Checks callers' requests and hands them to the dispatcher. */
export class EntryCallers implements CallerBackend {
  private constructor(private readonly options: EntryCallersOptions) {}

  static create(options: EntryCallersOptions): EntryCallers {
    return new EntryCallers(options);
  }

  authenticate(keySha256: string): Result<string, ServiceError> {
    const ruleSet = this.options.rules.getRuleSet();
    if (ruleSet === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    const customer = ruleSet.findCustomer(keySha256);
    if (customer !== undefined) return ok(customer);
    return err(createError('unauthenticated', 'the API key is not known'));
  }

  dispatch(request: CallerRequest, sink: AnswerSink): DispatchHandle {
    const dispatchRequest = this.checkRequest(request);
    if (dispatchRequest.isErr()) {
      const {kind, detail} = dispatchRequest.error;
      const {requestId} = request;
      this.options.metrics.addCount('requests_refused_total', {kind});
      this.options.log.writeEvent('request-refused', {
        requestId,
        kind,
        detail,
      });
      sink.fail(dispatchRequest.error);
      return {cancel: () => undefined};
    }
    const {customer} = request;
    const release = createOnce(() =>
      this.options.limiter.releaseCall(customer),
    );
    const handle = this.options.dispatcher.dispatch(
      dispatchRequest.value,
      observeEnd(sink, release),
    );
    return {
      cancel: () => {
        release();
        handle.cancel();
      },
    };
  }

  private checkRequest(
    request: CallerRequest,
  ): Result<DispatchRequest, ServiceError> {
    const ruleSet = this.options.rules.getRuleSet();
    if (ruleSet === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    const pool = ruleSet.findPool(request.service);
    if (pool === undefined) {
      const detail = `there is no service ${request.service}`;
      return err(createError('not-found', detail));
    }
    const expectedWork = pool.type === 'engine' ? 'completion' : 'http';
    if (request.work.type !== expectedWork) {
      const detail = `${request.service} does not accept ${request.work.type} calls`;
      return err(createError('bad-request', detail));
    }
    const dispatchRequest = this.createDispatchRequest(request, ruleSet);
    return this.checkLimits(dispatchRequest, ruleSet).map(
      () => dispatchRequest,
    );
  }

  private checkLimits(
    request: DispatchRequest,
    ruleSet: RuleSet,
  ): Result<void, ServiceError> {
    const {customer, service, expectedTokens} = request;
    const call = {
      customer,
      expectedTokens,
      rules: ruleSet.listLimits(customer, service),
      peers: this.options.listPeerDemand(),
    };
    const nowMs = this.options.clock.readMonotonicMs();
    return this.options.limiter.admitCall(call, nowMs);
  }

  private createDispatchRequest(
    request: CallerRequest,
    ruleSet: RuleSet,
  ): DispatchRequest {
    const {customer, service, work, prefix} = request;
    return {
      requestId: request.requestId,
      customer,
      service,
      work,
      isIdempotent: isIdempotent(request, ruleSet),
      idempotencyKey: request.idempotencyKey,
      fingerprint: computeFingerprint(customer, work),
      prefixKey:
        prefix === ''
          ? ''
          : hashText(prefix.slice(0, PREFIX_KEY_CHARS)).toString(36),
      expectedTokens: request.expectedTokens,
      budgetMs: request.budgetMs ?? this.options.defaultBudgetMs,
      priority: ruleSet.getPriority(customer, service),
    };
  }
}

/** Returns a function that runs the action on its first call only. */
function createOnce(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}

function isIdempotent(request: CallerRequest, ruleSet: RuleSet): boolean {
  if (request.isMarkedNonIdempotent) return false;
  const {work, service} = request;
  if (work.type === 'completion') return true;
  return ruleSet.isIdempotent(service, work.method, work.path);
}
