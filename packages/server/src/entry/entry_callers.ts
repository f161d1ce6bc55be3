/** The entry as serving callers see it: keys, limits and dispatch. */
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

const PREFIX_KEY_CHARS = 256;

/** What the callers' side of an entry is built from. */
export interface EntryCallersOptions {
  readonly dispatcher: Dispatcher;
  readonly rules: RulesHolder;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly defaultBudgetMs: number;
  readonly clock: Clock;
  readonly limiter: CustomerLimiter;
  /** Returns the demand at each other entry; undefined of a silent one. */
  listPeerDemand(): (readonly CustomerDemand[] | undefined)[];
}

/** Checks callers' requests and dispatches them. */
export class EntryCallers implements CallerBackend {
  private constructor(private readonly options: EntryCallersOptions) {}

  /** Builds the callers' side of an entry. */
  static create(options: EntryCallersOptions): EntryCallers {
    return new EntryCallers(options);
  }

  authenticate(keySha256: string): Result<string, ServiceError> {
    const book = this.options.rules.getRuleSet();
    if (book === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    const customer = book.findCustomer(keySha256);
    if (customer !== undefined) return ok(customer);
    return err(createError('unauthenticated', 'the API key is not known'));
  }

  dispatch(request: CallerRequest, sink: AnswerSink): DispatchHandle {
    const checked = this.checkRequest(request);
    if (checked.isErr()) {
      const {kind, detail} = checked.error;
      const {requestId} = request;
      this.options.metrics.addCount('requests_refused_total', {kind});
      this.options.log.writeEvent('request-refused', {
        requestId,
        kind,
        detail,
      });
      sink.fail(checked.error);
      return {cancel: () => undefined};
    }
    const {customer} = request;
    const release = createOnce(() =>
      this.options.limiter.releaseCall(customer),
    );
    const handle = this.options.dispatcher.dispatch(
      checked.value,
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
    const book = this.options.rules.getRuleSet();
    if (book === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    const pool = book.findPool(request.service);
    if (pool === undefined) {
      const detail = `there is no service ${request.service}`;
      return err(createError('not-found', detail));
    }
    const expected = pool.type === 'engine' ? 'completion' : 'http';
    if (request.work.type !== expected) {
      const detail = `${request.service} does not take such calls`;
      return err(createError('bad-request', detail));
    }
    const dispatch = this.createDispatchRequest(request, book);
    return this.checkLimits(dispatch, book).map(() => dispatch);
  }

  private checkLimits(
    request: DispatchRequest,
    book: RuleSet,
  ): Result<void, ServiceError> {
    const {customer, service, expectedTokens} = request;
    const call = {
      customer,
      expectedTokens,
      rules: book.listLimits(customer, service),
      peers: this.options.listPeerDemand(),
    };
    const nowMs = this.options.clock.readMonotonicMs();
    return this.options.limiter.admitCall(call, nowMs);
  }

  private createDispatchRequest(
    request: CallerRequest,
    book: RuleSet,
  ): DispatchRequest {
    const {customer, service, work, prefix} = request;
    return {
      requestId: request.requestId,
      customer,
      service,
      work,
      isIdempotent: isIdempotent(request, book),
      idempotencyKey: request.idempotencyKey,
      fingerprint: computeFingerprint(customer, work),
      prefixKey:
        prefix === ''
          ? ''
          : hashText(prefix.slice(0, PREFIX_KEY_CHARS)).toString(36),
      expectedTokens: request.expectedTokens,
      budgetMs: request.budgetMs ?? this.options.defaultBudgetMs,
      priority: book.getPriority(customer, service),
    };
  }
}

/** Wraps an action so that only its first call counts. */
function createOnce(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}

function isIdempotent(request: CallerRequest, book: RuleSet): boolean {
  if (request.isMarkedNonIdempotent) return false;
  const {work, service} = request;
  if (work.type === 'completion') return true;
  return book.isIdempotent(service, work.method, work.path);
}
