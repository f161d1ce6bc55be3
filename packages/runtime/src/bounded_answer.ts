/**
 * Answers of other systems, each read within a bound. Without one, an answer that
 * does not end fills the memory long before its time limit. A connection is closed
 * at once when its answer passes a bound or has an invalid status.
 */
import {Dispatcher, request} from 'undici';
import {attachFrameGuard} from './answer_frame_guard';
import {isValidStatus} from './http_status';

/** Maximum number of interim responses (1xx) before an answer. */
const MAX_INTERIM_RESPONSES = 8;

export interface BoundedRequest {
  readonly method?: Dispatcher.HttpMethod;
  readonly headers?: Readonly<Record<string, string>> | readonly string[];
  readonly body?: string | Uint8Array | null;
  /** Keeps the connections; the one that all share by default. */
  readonly dispatcher?: Dispatcher;
  /** Ends the request; it needs a time limit of its own. */
  readonly signal: AbortSignal;
  /** Maximum size of the answer's body, in bytes. */
  readonly maxBytes: number;
}

/** An answer whose head has arrived. Its body is read once. */
export class BoundedAnswer {
  private constructor(
    private readonly reply: Dispatcher.ResponseData,
    private readonly maxBytes: number,
    private readonly method: string,
  ) {}

  /**
   * Sends a request and resolves when the head of its answer has arrived. Rejects
   * with an error that `classifyCallError` classifies.
   */
  static async request(
    url: string,
    {maxBytes, signal, headers, ...options}: BoundedRequest,
  ): Promise<BoundedAnswer> {
    attachFrameGuard();
    const controller = new AbortController();
    let interimResponses = 0;
    const reply = await request(url, {
      ...options,
      headers: headers as Record<string, string> | string[] | undefined,
      signal: AbortSignal.any([signal, controller.signal]),
      onInfo: () => {
        interimResponses += 1;
        if (interimResponses <= MAX_INTERIM_RESPONSES) return;
        controller.abort(new Error('interim responses without end'));
      },
    });
    const answer = new BoundedAnswer(reply, maxBytes, options.method ?? 'GET');
    answer.checkHead();
    return answer;
  }

  get status(): number {
    return this.reply.statusCode;
  }

  get headers(): Dispatcher.ResponseData['headers'] {
    return this.reply.headers;
  }

  /** Reads the body in parts as they arrive; throws when it passes the bound. */
  async *readParts(maxBytes = this.maxBytes): AsyncGenerator<Uint8Array> {
    let length = 0;
    for await (const bytes of this.reply.body) {
      length += (bytes as Uint8Array).length;
      if (length > maxBytes) throw createSizeError(maxBytes);
      yield bytes as Uint8Array;
    }
  }

  /** Reads the whole body; `maxBytes` is a lower bound than that of the request. */
  async readText(maxBytes = this.maxBytes): Promise<string> {
    const parts: Uint8Array[] = [];
    for await (const bytes of this.readParts(maxBytes)) parts.push(bytes);
    return Buffer.concat(parts).toString('utf8');
  }

  async readJson(): Promise<unknown> {
    return JSON.parse(await this.readText());
  }

  private checkHead(): void {
    // Without a body, the head states the size that one would have.
    const hasBody = this.method !== 'HEAD' && this.status !== 304;
    const statedBytes = hasBody
      ? Number(this.headers['content-length'] ?? 0)
      : 0;
    if (!isValidStatus(this.status)) {
      this.reject(new Error(`invalid status ${this.status}`));
    }
    if (statedBytes > this.maxBytes) {
      this.reject(createSizeError(this.maxBytes));
    }
  }

  private reject(error: Error): never {
    this.reply.body.on('error', () => undefined);
    this.reply.body.destroy();
    throw error;
  }
}

function createSizeError(maxBytes: number): Error {
  return new Error(`body of over ${maxBytes} bytes`);
}
