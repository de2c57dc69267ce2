/** Type declarations for the parts of js-csp 1.0.1 that this project uses. */
declare module "js-csp" {
  export interface Channel<T> {
    close(): void;
    isClosed(): boolean;
    readonly __value?: T;
  }
  export interface Instruction {
    readonly __instruction?: never;
  }
  export interface Buffer {
    readonly __buffer?: never;
  }
  export interface AltsResult<T> {
    value: T;
    channel: Channel<T>;
  }
  export const CLOSED: null;
  export function chan<T>(bufferOrSize?: Buffer | number): Channel<T>;
  export function take<T>(channel: Channel<T>): Instruction;
  export function put<T>(channel: Channel<T>, value: T): Instruction;
  export function offer<T>(channel: Channel<T>, value: T): boolean;
  export function alts(
    channels: Channel<unknown>[],
    options?: { priority?: boolean },
  ): Instruction;
  export function putAsync<T>(
    channel: Channel<T>,
    value: T,
    callback?: (ok: boolean) => void,
  ): void;
  export function takeAsync<T>(
    channel: Channel<T>,
    callback: (value: T | null) => void,
  ): void;
  export function timeout(ms: number): Channel<never>;
  export function go(
    body: (...args: unknown[]) => Generator<unknown, unknown, unknown>,
    args?: unknown[],
  ): Channel<unknown>;
  export function spawn(
    generator: Generator<unknown, unknown, unknown>,
  ): Channel<unknown>;
  export const buffers: {
    fixed(size: number): Buffer;
    dropping(size: number): Buffer;
    sliding(size: number): Buffer;
  };
}
