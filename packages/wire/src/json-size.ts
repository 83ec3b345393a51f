/** Estimates what a JSON text takes in memory once it is parsed, without parsing it. */

/** Memory of a text and of its strings in relation to its length, with the copies that its handler makes. */
const textMemoryFactor = 8;
/** Memory of a value or a property, with the copies that its handler makes, in bytes. */
const bytesPerValue = 100;
const valueMarks: ReadonlySet<number> = new Set(Buffer.from(',:[{'));

/** Upper bound of the memory for handling a JSON text, in bytes. */
export const jsonMemoryBytes = (text: string): number => {
  let values = 1;
  for (let index = 0; index < text.length; index++)
    if (valueMarks.has(text.charCodeAt(index))) values++;
  return text.length * textMemoryFactor + values * bytesPerValue;
};
