/** The start of one call for the usage of customers: counted once, whichever of
 * its attempts runs it. */
import type {RoutedCall, StartRecorder} from './call_types';

export class CallStart {
  /** Attempts that ran the call or may do so. */
  private attempts = 0;

  private constructor(
    private readonly call: Pick<RoutedCall, 'id' | 'customer'>,
    private readonly starts: StartRecorder | undefined,
  ) {}

  static create(
    call: Pick<RoutedCall, 'id' | 'customer'>,
    starts: StartRecorder | undefined,
  ): CallStart {
    return new CallStart(call, starts);
  }

  /** Records that an attempt is sent. */
  recordAttempt(nowMs: number): void {
    const {id, customer} = this.call;
    this.attempts += 1;
    // A later attempt counts only if none before it has run the call.
    if (customer === undefined || this.attempts > 1) return;
    this.starts?.recordStart(id, customer, nowMs);
  }

  /** Records that an attempt has certainly not run. */
  withdrawAttempt(): void {
    this.attempts -= 1;
    if (this.attempts === 0) this.starts?.withdrawStart(this.call.id);
  }
}
