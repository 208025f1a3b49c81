package yardusher.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Events through SLF4J to Logback, set up here and not by a file: lines for people, or a JSON object a line. */
final class StructuredEvents implements Events {
    private final Logger logger;

    private StructuredEvents(Logger logger) { this.logger = logger; }

    /** Sets the whole process's logging up; the last call counts. */
    static Events of(LogSettings settings, String instance) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        EncoderBase<ILoggingEvent> encoder;
        if (settings.json()) {
            JsonEncoder json = new JsonEncoder();
            json.setWithFormattedMessage(false);
            json.setWithContext(false);
            json.setWithSequenceNumber(false);
            json.setWithNanoseconds(false);
            encoder = json;
        } else {
            PatternLayoutEncoder lines = new PatternLayoutEncoder();
            lines.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger %msg %kvp%n");
            encoder = lines;
        }
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder((Encoder<ILoggingEvent>) encoder);
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(settings.level()));
        root.addAppender(appender);
        return new StructuredEvents(LoggerFactory.getLogger(instance));
    }

    @Override
    public void info(String text, Object... pairs) { log(logger.atInfo(), text, pairs); }

    @Override
    public void warn(String text, Object... pairs) { log(logger.atWarn(), text, pairs); }

    private static void log(LoggingEventBuilder event, String text, Object... pairs) {
        LoggingEventBuilder more = event.setMessage(text);
        for (int i = 0; i + 1 < pairs.length; i += 2) { more = more.addKeyValue(String.valueOf(pairs[i]), pairs[i + 1]); }
        more.log();
    }
}
