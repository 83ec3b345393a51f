/**
 * An item in the memory of a store, with its value as one string of one byte a character. Values are mostly bodies of
 * requests and responses in base64, which take a quarter less that way; a value has one object in place of many.
 */
import { z } from 'zod';
import { valueBytes, type Item, type ItemVersion } from '@tillerstair/state';

/** Memory of an item beside its value and its key: its objects, and its entries in the tables of a slot, in bytes. */
const bytesPerItem = 400;
/** Strings of fewer characters stay in the header. */
const minSegmentCharacters = 64;
const base64GroupLength = 4;
const otherThanBase64 = /[^A-Za-z0-9+/]/;
const base64Digits = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/';
/** The last digits after which the unused bits are 0, as they are after encoding, by the number of `=` that follow. */
const lastDigitsByPadding = [base64Digits, 'AEIMQUYcgkosw048', 'AQgw'];
const otherThanOneByte = /[^\u0000-\u00ff]/;

/** A string field of the value whose bytes follow the header. */
const Segment = z.object({
  field: z.string(),
  encoding: z.enum(['base64', 'latin1']),
  length: z.number(),
});
type Segment = z.infer<typeof Segment>;

/** The value without its segments, and the segments in their order. */
const Header = z.object({ value: z.unknown(), segments: z.array(Segment) });

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Whether encoding the bytes that a text stands for gives the same text. */
const isBase64 = (text: string): boolean => {
  if (text.length % base64GroupLength !== 0) return false;
  const padding = text.endsWith('==') ? 2 : text.endsWith('=') ? 1 : 0;
  const firstOther = text.search(otherThanBase64);
  const endOfDigits = text.length - padding;
  if (firstOther !== -1 && firstOther < endOfDigits) return false;
  const lastDigit = text.charAt(endOfDigits - 1);
  return lastDigitsByPadding[padding]?.includes(lastDigit) ?? false;
};

/** The encoding that returns exactly this text from its bytes; undefined if there is none. */
const encodingOf = (text: string): Segment['encoding'] | undefined => {
  if (isBase64(text)) return 'base64';
  return otherThanOneByte.test(text) ? undefined : 'latin1';
};

/** A text that is written as bytes. */
interface Part {
  readonly text: string;
  readonly encoding: Segment['encoding'] | 'utf8';
  readonly length: number;
}

const partOf = (text: string, encoding: Part['encoding']): Part => ({
  text,
  encoding,
  length: Buffer.byteLength(text, encoding),
});

/** Writes parts one after another, as one string without references to others. */
const joinParts = (parts: readonly Part[]): string => {
  const bytes = Buffer.allocUnsafe(parts.reduce((sum, { length }) => sum + length, 0));
  let end = 0;
  for (const { text, encoding } of parts) end += bytes.write(text, end, encoding);
  return bytes.toString('latin1');
};

/** A value that is kept as it is: one without fields or elements. */
interface PlainValue {
  readonly plain: unknown;
}

/** A value as characters that stand for bytes: those of the header, then those of the segments. */
interface PackedValue {
  readonly characters: string;
  readonly headerLength: number;
  readonly headerEncoding: 'latin1' | 'utf8';
}

/** Decodes a part of the characters of a packed value. */
const decodePart = (characters: string, encoding: Part['encoding']): string =>
  Buffer.from(characters, 'latin1').toString(encoding);

const packValue = (value: unknown): PackedValue | PlainValue => {
  if (typeof value !== 'object' || value === null) return { plain: value };
  const remaining = new Map(isRecord(value) ? Object.entries(value) : []);
  const segments: Segment[] = [];
  const parts: Part[] = [];
  for (const [field, text] of remaining) {
    if (typeof text !== 'string' || text.length < minSegmentCharacters) continue;
    const encoding = encodingOf(text);
    if (!encoding) continue;
    const part = partOf(text, encoding);
    segments.push({ field, encoding, length: part.length });
    parts.push(part);
    remaining.set(field, '');
  }
  const rest = segments.length > 0 ? Object.fromEntries(remaining) : value;
  const headerText = JSON.stringify({ value: rest, segments });
  const headerEncoding = otherThanOneByte.test(headerText) ? 'utf8' : 'latin1';
  if (segments.length === 0 && headerEncoding === 'latin1')
    return { characters: headerText, headerLength: headerText.length, headerEncoding };
  const header = partOf(headerText, headerEncoding);
  return { characters: joinParts([header, ...parts]), headerLength: header.length, headerEncoding };
};

/** The text of a field that is not decoded yet. */
interface EncodedText {
  readonly characters: string;
  readonly encoding: Segment['encoding'];
}

/** A value whose long texts are left out, and these texts by their fields. */
interface OpenedValue {
  readonly value: unknown;
  readonly texts: ReadonlyMap<string, EncodedText>;
}

const openValue = ({ characters, headerLength, headerEncoding }: PackedValue): OpenedValue => {
  const header = decodePart(characters.slice(0, headerLength), headerEncoding);
  const { value, segments } = Header.parse(JSON.parse(header));
  const texts = new Map<string, EncodedText>();
  let start = headerLength;
  for (const { field, encoding, length } of segments) {
    texts.set(field, { characters: characters.slice(start, start + length), encoding });
    start += length;
  }
  return { value, texts };
};

/** The value, or with `fields` one in which the texts of other fields may be missing. */
const unpackValue = (packed: PackedValue | PlainValue, fields?: readonly string[]): unknown => {
  if ('plain' in packed) return packed.plain;
  const { value, texts } = openValue(packed);
  if (texts.size === 0 || !isRecord(value)) return value;
  const unpacked = new Map(Object.entries(value));
  for (const [field, { characters, encoding }] of texts)
    if (fields?.includes(field) ?? true) unpacked.set(field, decodePart(characters, encoding));
  return Object.fromEntries(unpacked);
};

/** Characters of a text that are decoded at a time for JSON; a multiple of 3, so that base64 is padded at its end only. */
const decodedAtOnce = 24 * 1024;

/** The JSON of a text. Base64 needs no escapes, so it is decoded in short parts. */
function* textJson({ characters, encoding }: EncodedText): Generator<string> {
  if (encoding !== 'base64') {
    yield JSON.stringify(decodePart(characters, encoding));
    return;
  }
  yield '"';
  for (let start = 0; start < characters.length; start += decodedAtOnce)
    yield decodePart(characters.slice(start, start + decodedAtOnce), encoding);
  yield '"';
}

function* valueJson(packed: PackedValue): Generator<string> {
  const { value, texts } = openValue(packed);
  if (texts.size === 0 || !isRecord(value)) {
    yield JSON.stringify(value);
    return;
  }
  let separator = '{';
  for (const [field, entry] of Object.entries(value)) {
    yield `${separator}${JSON.stringify(field)}:`;
    const text = texts.get(field);
    if (text) yield* textJson(text);
    else yield JSON.stringify(entry);
    separator = ',';
  }
  yield '}';
}

/** An item whose value is packed; it does not change. */
export class PackedItem implements ItemVersion {
  readonly key: string;
  readonly ownershipEpoch: number;
  readonly seq: number;
  /** Size of the packed value in bytes; 0 for a plain one. */
  readonly packedBytes: number;
  /** The estimated memory of this item, in bytes. */
  readonly bytes: number;
  private readonly packed: PackedValue | PlainValue;

  constructor({ key, ownershipEpoch, seq, value }: Item) {
    this.key = key;
    this.ownershipEpoch = ownershipEpoch;
    this.seq = seq;
    this.packed = packValue(value);
    this.packedBytes = 'plain' in this.packed ? 0 : this.packed.characters.length;
    this.bytes = bytesPerItem + 2 * key.length + (this.packedBytes || valueBytes(value));
  }

  /** The item as it was stored. */
  unpack(): Item {
    const { key, ownershipEpoch, seq } = this;
    return { key, ownershipEpoch, seq, value: unpackValue(this.packed) };
  }

  /** The item as it was stored, for JSON, so that a reply takes no memory for it before it is written. */
  toJSON(): Item {
    return this.unpack();
  }

  /** The same JSON in parts, so that a long text is never a string of its own. */
  *jsonParts(): Generator<string> {
    const { key, ownershipEpoch, seq, packed } = this;
    if ('plain' in packed) {
      yield JSON.stringify(this);
      return;
    }
    yield `${JSON.stringify({ key, ownershipEpoch, seq }).slice(0, -1)},"value":`;
    yield* valueJson(packed);
    yield '}';
  }

  /** The value with these fields; the texts of others may be missing. */
  pick(fields: readonly string[]): unknown {
    return unpackValue(this.packed, fields);
  }

  /** The version of this item, without its value. */
  version(): ItemVersion {
    const { key, ownershipEpoch, seq, bytes } = this;
    return { key, ownershipEpoch, seq, bytes };
  }
}

const packedItems = new WeakMap<Item, PackedItem>();

/** Packs an item; the same object is packed once, so that its size is known before it is stored. */
export const packItem = (item: Item): PackedItem => {
  const known = packedItems.get(item);
  if (known) return known;
  const packed = new PackedItem(item);
  packedItems.set(item, packed);
  return packed;
};
