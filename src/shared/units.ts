/** Branded numeric types, so that units are not mixed by accident. */

declare const unit: unique symbol;

type Branded<Name extends string> = number & { readonly [unit]: Name };

/** A duration or an instant of a monotonic clock, in milliseconds. */
export type Ms = Branded<"ms">;

/** A number of model tokens. */
export type Tokens = Branded<"tokens">;

/** A number of bytes. */
export type Bytes = Branded<"bytes">;

export const ms = (value: number): Ms => value as Ms;

export const tokens = (value: number): Tokens => value as Tokens;

export const bytes = (value: number): Bytes => value as Bytes;
