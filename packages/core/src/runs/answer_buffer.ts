/**
 * The answer of one run as the agent keeps it: contiguous chunks, then one
 * final frame. Readers take it from any offset, as often as they need.
 */
import type {ServiceError} from '../errors/error_kinds';

/** Bytes of an answer that one weight version produced. */
export interface AnswerChunk {
  /** Offset in bytes from the start of the body. */
  readonly offset: number;
  readonly data: Uint8Array;
  /** Weight version; 0 for plain services. */
  readonly weightVersion: number;
  readonly tokens: number;
}

/** Bytes [from, to) of an answer, produced by one weight version. */
export interface VersionSegment {
  readonly version: number;
  readonly from: number;
  readonly to: number;
}

/** Name and value of an HTTP header. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** Status and headers of a plain service's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** The end of a whole answer. */
export interface AnswerEnd {
  /** Length of the body in bytes. */
  readonly totalLength: number;
  readonly segments: readonly VersionSegment[];
  readonly finishReason: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

/** What an engine or service says at the end of its answer. */
export type EndReport = Omit<AnswerEnd, 'totalLength' | 'segments'>;

/** A frame of an answer, as data. */
export type AnswerFrame =
  | {readonly type: 'accepted'}
  | {readonly type: 'head'; readonly head: AnswerHead}
  | {readonly type: 'chunk'; readonly chunk: AnswerChunk}
  | {readonly type: 'end'; readonly end: AnswerEnd}
  | {readonly type: 'failed'; readonly error: ServiceError};

/** Called with each new frame of an answer. */
export type FrameListener = (frame: AnswerFrame) => void;

/** Collects one answer and replays it to readers. */
export class AnswerBuffer {
  private head: AnswerHead | undefined;
  private readonly chunks: AnswerChunk[] = [];
  private finalFrame: AnswerFrame | undefined;
  private length = 0;
  private isAccepted = false;
  private readonly listeners = new Set<FrameListener>();

  private constructor() {}

  /** Builds an empty answer. */
  static create(): AnswerBuffer {
    return new AnswerBuffer();
  }

  /** Records that the work has started. */
  markAccepted(): void {
    if (this.isAccepted) return;
    this.isAccepted = true;
    this.notifyListeners({type: 'accepted'});
  }

  /** Records status and headers. */
  setHead(head: AnswerHead): void {
    this.head = head;
    this.notifyListeners({type: 'head', head});
  }

  /** Appends bytes at the end of the body. */
  appendData(data: Uint8Array, weightVersion: number, tokens: number): void {
    if (this.finalFrame !== undefined) return;
    const chunk = {offset: this.length, data, weightVersion, tokens};
    this.chunks.push(chunk);
    this.length += data.length;
    this.notifyListeners({type: 'chunk', chunk});
  }

  /** Ends the answer as whole. */
  finish(report: EndReport): void {
    const totalLength = this.length;
    const segments = mergeSegments(this.chunks);
    this.setFinalFrame({type: 'end', end: {...report, totalLength, segments}});
  }

  /** Ends the answer as failed. */
  fail(error: ServiceError): void {
    this.setFinalFrame({type: 'failed', error});
  }

  /** Tells whether the answer has ended. */
  hasEnded(): boolean {
    return this.finalFrame !== undefined;
  }

  /** Returns the last frame once the answer has ended. */
  getFinalFrame(): AnswerFrame | undefined {
    return this.finalFrame;
  }

  /** Returns the number of body bytes so far. */
  getLength(): number {
    return this.length;
  }

  /**
   * Replays the answer from an offset, then passes on what follows. Returns
   * a function that ends the subscription.
   */
  subscribe(fromOffset: number, listener: FrameListener): () => void {
    if (this.isAccepted) listener({type: 'accepted'});
    if (this.head !== undefined) listener({type: 'head', head: this.head});
    for (const chunk of this.chunks) {
      if (chunk.offset + chunk.data.length > fromOffset) {
        listener({type: 'chunk', chunk: trimChunk(chunk, fromOffset)});
      }
    }
    if (this.finalFrame !== undefined) listener(this.finalFrame);
    else this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private setFinalFrame(frame: AnswerFrame): void {
    if (this.finalFrame !== undefined) return;
    this.finalFrame = frame;
    this.notifyListeners(frame);
    this.listeners.clear();
  }

  private notifyListeners(frame: AnswerFrame): void {
    for (const listener of [...this.listeners]) listener(frame);
  }
}

/** Cuts the bytes before an offset off a chunk. */
export function trimChunk(chunk: AnswerChunk, fromOffset: number): AnswerChunk {
  const skipped = fromOffset - chunk.offset;
  if (skipped <= 0) return chunk;
  return {...chunk, offset: fromOffset, data: chunk.data.subarray(skipped)};
}

/** Joins neighbouring chunks of the same weight version. */
export function mergeSegments(
  chunks: readonly AnswerChunk[],
): VersionSegment[] {
  const segments: VersionSegment[] = [];
  for (const chunk of chunks) {
    const to = chunk.offset + chunk.data.length;
    const last = segments[segments.length - 1];
    if (last?.version === chunk.weightVersion) {
      segments[segments.length - 1] = {...last, to};
    } else {
      segments.push({version: chunk.weightVersion, from: chunk.offset, to});
    }
  }
  return segments;
}
