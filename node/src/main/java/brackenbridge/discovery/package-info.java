/**
 * Parses the responses of discovery: complete endpoint lists and the events of a watch.
 *
 * <p>Depends on {@code core} for the types that it yields. It opens no connection: bytes go in, values or errors
 * come out. The splitter of a watch keeps the bytes of an incomplete event and belongs to the event loop of its
 * call.
 */
package brackenbridge.discovery;
